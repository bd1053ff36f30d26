package comfreypath.transport

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders

/** What a line of a head holds beside its text: its objects, and those of the copies that are sent on. */
private const val LINE_BYTES = 256

/** Headers that take the memory of each line with [reserve], which throws if there is none, before they add it. */
internal class MeteredHeaders(
    validation: DefaultHttpHeadersFactory,
    private val reserve: (bytes: Int) -> Unit,
) : DefaultHttpHeaders(validation.nameValidator, validation.valueValidator) {
    override fun add(name: CharSequence, value: Any): HttpHeaders {
        reserve(LINE_BYTES + name.length + ((value as? CharSequence)?.length ?: 0))
        return super.add(name, value)
    }
}

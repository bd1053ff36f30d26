package comfreypath.transport

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * Creates [MeteredHeaders].
 *
 * @property reserve takes the memory of a line, or throws
 * @property onHeaders is called before the headers of a message are created
 * @property onCreated is called with the headers
 */
internal class MeteredHeadersFactory(
    private val validation: DefaultHttpHeadersFactory,
    private val reserve: (bytes: Int) -> Unit,
    private val onHeaders: () -> Unit = {},
    private val onCreated: (MeteredHeaders) -> Unit = {},
) : HttpHeadersFactory {
    override fun newHeaders(): MeteredHeaders {
        onHeaders()
        return MeteredHeaders(validation, reserve).also(onCreated)
    }

    override fun newEmptyHeaders(): MeteredHeaders = newHeaders()
}

package comfreypath.transport

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.QueryStringDecoder

/**
 * A whole request as a server received it.
 *
 * @property uri the path with its query
 */
class IncomingRequest(val method: HttpMethod, val uri: String, val headers: HttpHeaders, val body: ByteArray) {
    private val decoder = QueryStringDecoder(uri)

    /** The path without its query. */
    val path: String = decoder.rawPath()

    /** The first value of the query's [name], or null. */
    fun queryParameter(name: String): String? = decoder.parameters()[name]?.firstOrNull()

    /** The body as UTF-8. */
    fun text(): String = body.decodeToString()
}

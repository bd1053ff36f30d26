package comfreypath.transport

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.QueryStringDecoder

/**
 * A complete request received by a server.
 *
 * @property uri the path and the query string
 * @property memory holds the bodies of the request and of its response until that has been written
 */
class IncomingRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val memory: ExchangeMemory = BodyMemory.unlimited().open(),
) {
    private val decoder = QueryStringDecoder(uri)

    /** The path without the query string, not percent-decoded. */
    val path: String = decoder.rawPath()

    /** The first value of the query parameter [name]; null if it is absent. */
    fun queryParameter(name: String): String? = decoder.parameters()[name]?.firstOrNull()

    /** The body decoded as UTF-8. */
    fun text(): String = body.decodeToString()
}

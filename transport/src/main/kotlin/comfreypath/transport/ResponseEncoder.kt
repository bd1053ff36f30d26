package comfreypath.transport

import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/** Encodes the responses of one connection. Responses to HEAD requests end with their heads. */
internal class ResponseEncoder : HttpResponseEncoder() {
    private var headOnly = false

    /** Must be called before the response to a request with [method] is written; null if the method is not known. */
    fun beginResponse(method: HttpMethod?) {
        headOnly = method == HttpMethod.HEAD
    }

    override fun isContentAlwaysEmpty(response: HttpResponse): Boolean =
        headOnly || super.isContentAlwaysEmpty(response)
}

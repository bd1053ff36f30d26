package comfreypath.router.request

import comfreypath.coordination.model.RequestId
import io.netty.handler.codec.http.DefaultHttpHeaders

/** Heads of endpoints' responses for tests. */
object EndpointResponseHeads {
    /** The head of a refusal that belongs to [request]. */
    fun of(request: RequestId?) = EndpointResponseHead(
        status = 503,
        genuine = true,
        requestId = request,
        notRun = true,
        wrongEndpoint = false,
        endpoint = null,
        load = null,
        idleTimeout = null,
        retryAfter = null,
        contentLength = 0,
        forwardedHeaders = DefaultHttpHeaders(),
    )
}

package comfreypath.router

import com.github.michaelbull.result.fold
import comfreypath.coordination.claims.ClaimOperation
import comfreypath.protocols.HeaderNames
import comfreypath.protocols.ServerSentEvent
import comfreypath.router.claims.Claims
import comfreypath.router.endpoint.DispatchOrder
import comfreypath.router.endpoint.OwnedEndpoints
import comfreypath.router.endpoint.toServerSentEvent
import comfreypath.router.platform.ConfigurationHolder
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.start
import comfreypath.transport.whole
import comfreypath.transport.decodeJson
import comfreypath.transport.json
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private const val KEEP_ALIVES_PER_LIVENESS_LIMIT = 3

/** What a router's peers ask of it: to send requests to its endpoints, to claim keys, and to give its configuration. */
internal class InternalApi(
    private val context: RouterContext,
    private val endpoints: OwnedEndpoints,
    private val claims: Claims,
    private val configuration: ConfigurationHolder,
) {
    private val keepAlive = context.options.timeouts.liveness.dividedBy(KEEP_ALIVES_PER_LIVENESS_LIMIT.toLong())

    /** The requests of peers in progress. */
    var inProgress: Int = 0
        private set

    /** Takes a request for an endpoint that this router owns. */
    suspend fun dispatch(request: IncomingRequest, writer: ResponseWriter) {
        decodeJson<DispatchOrder>(request.headers.get(HeaderNames.DISPATCH).orEmpty()).fold(
            success = { order -> counted { run(order, request, writer) } },
            failure = { writer.whole(HttpResponseStatus.BAD_REQUEST, emptyMap(), it.encodeToByteArray()) },
        )
    }

    private suspend fun counted(work: suspend () -> Unit) {
        inProgress += 1
        try {
            work()
        } finally {
            inProgress -= 1
        }
    }

    private suspend fun run(order: DispatchOrder, request: IncomingRequest, writer: ResponseWriter) {
        val headers = mapOf("content-type" to "text/event-stream", HeaderNames.REQUEST_ID to order.id.text)
        writer.start(HttpResponseStatus.OK, headers)
        coroutineScope {
            val alive = launch {
                while (true) {
                    delay(keepAlive.toMillis())
                    writer.piece(ServerSentEvent.KEEP_ALIVE)
                }
            }
            endpoints.dispatch(order, request.body, request.headers.get(HeaderNames.TRACE_PARENT).orEmpty())
                .collect { writer.piece(it.toServerSentEvent().encode()) }
            alive.cancel()
        }
        writer.end()
    }

    /** Carries a claim operation out for a peer. */
    suspend fun claim(request: IncomingRequest, writer: ResponseWriter) {
        decodeJson<ClaimOperation>(request.text()).fold(
            success = { writer.json(HttpResponseStatus.OK, claims.submitHere(it)) },
            failure = { writer.whole(HttpResponseStatus.BAD_REQUEST, emptyMap(), it.encodeToByteArray()) },
        )
    }

    /** Gives the configuration in force. */
    suspend fun configuration(writer: ResponseWriter) = writer.json(HttpResponseStatus.OK, configuration.current)
}

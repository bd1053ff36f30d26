package comfreypath.router.entry

import comfreypath.transport.whole
import comfreypath.coordination.model.Refusal
import comfreypath.coordination.model.RefusalCode
import comfreypath.coordination.model.Route
import comfreypath.coordination.model.Service
import comfreypath.coordination.model.ServiceKind
import comfreypath.protocols.HeaderNames
import comfreypath.router.RouterContext
import comfreypath.router.claims.Claims
import comfreypath.router.endpoint.DispatchEvent
import comfreypath.router.platform.ConfigurationHolder
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.async

private const val LONGEST_KEY = 256

/** Answers requests to plain services; those that may not be repeated run at most once for each key. */
internal class PlainStage(
    private val context: RouterContext,
    private val configuration: ConfigurationHolder,
    private val relay: PlainRelay,
    claims: Claims,
) {
    private val claimed = ClaimedRun(context, relay, claims, ::write)

    /** Answers a request under `/services/`. */
    suspend fun answer(exchange: CallerExchange) {
        val service = configuration.current.services
            .firstOrNull { it.name == serviceNameIn(exchange.request.path) && it.kind == ServiceKind.PLAIN }
        val rest = exchange.request.path.removePrefix("/services/${service?.name}")
        val routes = service?.routes?.filter { rest.startsWith(it.pathPrefix) }.orEmpty()
        val route = routes.firstOrNull { exchange.request.method.name() in it.methods }
        when {
            service == null || routes.isEmpty() ->
                exchange.refuse(Refusal(RefusalCode.UNKNOWN_ROUTE, "no service takes ${exchange.request.path}"))
            route == null -> {
                val message = "the route does not take ${exchange.request.method}"
                exchange.refuse(Refusal(RefusalCode.WRONG_METHOD, message))
            }
            else -> run(
                exchange,
                PlainJob(service, route, exchange.request.uri.removePrefix("/services/${service.name}"))
            )
        }
    }

    private suspend fun run(exchange: CallerExchange, job: PlainJob) {
        val key = exchange.request.headers.get(HeaderNames.IDEMPOTENCY_KEY)
        when {
            job.route.idempotent || key == null -> write(exchange, detached(exchange, job))
            key.isEmpty() || key.length > LONGEST_KEY -> {
                val message = "an Idempotency-Key has 1 to $LONGEST_KEY characters"
                exchange.refuse(Refusal(RefusalCode.BAD_INPUT, message))
            }
            else -> claimed.run(exchange, job, key)
        }
    }

    /** Runs the request to its end even when the caller leaves, since it may not be repeated. */
    private suspend fun detached(exchange: CallerExchange, job: PlainJob): DispatchEvent =
        context.scope.async { relay.run(exchange, job) }.await()

    private suspend fun write(exchange: CallerExchange, event: DispatchEvent) {
        when (event) {
            is DispatchEvent.Answer -> {
                context.metrics.answered.labelValues("plain").inc()
                val type = event.answer.contentType ?: "application/octet-stream"
                val headers = mapOf("content-type" to type, HeaderNames.REQUEST_ID to exchange.id.text)
                val status = HttpResponseStatus.valueOf(event.answer.status)
                exchange.writer.whole(status, headers, event.answer.body.encodeToByteArray())
            }
            is DispatchEvent.Refused -> exchange.refuse(event.refusal)
            is DispatchEvent.Failed -> exchange.refuse(event.refusal)
            is DispatchEvent.Piece, is DispatchEvent.Done, is DispatchEvent.NotFound -> exchange.refuse(OUTCOME_UNKNOWN)
        }
    }
}

/**
 * A request to a plain service.
 *
 * @property path the path and query at the endpoint
 */
internal data class PlainJob(val service: Service, val route: Route, val path: String)

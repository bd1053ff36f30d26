package comfreypath.router.sending

import com.github.michaelbull.result.fold
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.UnknownReason
import comfreypath.router.RouterContext
import comfreypath.router.request.CallerRequest
import comfreypath.router.request.EndpointDialect
import comfreypath.router.request.EndpointHead
import comfreypath.router.request.SendPlan
import comfreypath.router.telemetry.TRACE_PARENT
import comfreypath.transport.Address
import comfreypath.transport.BreakReason
import comfreypath.transport.ConnectionPool
import comfreypath.transport.HttpConnection
import comfreypath.transport.ResponsePart
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import java.time.Instant

private const val IDLE_CONNECTIONS = 16
private const val DEFAULT_IDLE_SECONDS = 4L
private const val FRESH_MILLISECONDS = 250L

/** How sending a request went up to the head of its answer. */
sealed interface SendResult {
    /** The attempt is over without an answer. */
    class Failed(val outcome: AttemptOutcome) : SendResult

    /** An answer to this request has begun. */
    class Answering(val head: EndpointHead, val exchange: EndpointExchange) : SendResult
}

/** Sends requests to endpoints and waits for the heads of their answers. */
class EndpointSender(
    private val context: RouterContext,
    private val pool: ConnectionPool,
    private val dialect: EndpointDialect,
    private val ledger: EndpointLedger,
) {
    /** Sends [request] as [plan] says, and waits until [deadline] for the answer's head. */
    suspend fun send(request: CallerRequest, plan: SendPlan, repeatable: Boolean, deadline: Instant): SendResult {
        val address = Address(plan.endpoint.host, plan.endpoint.port)
        // A server may close a connection that rests just as the next request is sent on it; a request that can't be
        // sent again then is lost, so that it takes a connection only while it is known to be fresh.
        val longestRest = if (repeatable) Duration.ofSeconds(DEFAULT_IDLE_SECONDS) else Duration.ofMillis(FRESH_MILLISECONDS)
        return pool.take(address, longestRest, context.options.timeouts.connect).fold(
            success = { exchange(request, plan, it.connection, deadline) },
            failure = { SendResult.Failed(AttemptOutcome.NotSent("connect: ${it.cause}")) },
        )
    }

    private suspend fun exchange(
        request: CallerRequest,
        plan: SendPlan,
        connection: HttpConnection,
        deadline: Instant,
    ): SendResult {
        val exchange = EndpointExchange(pool, connection, ledger.entry(plan.endpoint.name))
        val span = context.tracing.start("endpoint", plan.traceParent)
        val head = dialect.encode(request, plan)
        span.traceParent?.let { head.headers.set(TRACE_PARENT, it) }
        if (!connection.send(head, request.body)) {
            exchange.close()
            span.end(succeeded = false)
            return SendResult.Failed(AttemptOutcome.NotSent("the connection had closed"))
        }
        var answered = false
        try {
            val left = Duration.between(context.now(), deadline).toMillis()
            val result = withTimeoutOrNull(left) { awaitHead(request, exchange) }
                ?: SendResult.Failed(AttemptOutcome.Unknown(UnknownReason.TIMED_OUT))
            answered = result is SendResult.Answering
            return result
        } finally {
            span.end(succeeded = answered)
            if (!answered) {
                exchange.close()
            }
        }
    }

    /** Waits for the head of the answer to this request, skipping late answers to other requests. */
    private suspend fun awaitHead(request: CallerRequest, exchange: EndpointExchange): SendResult {
        var skipping = false
        while (true) {
            when (val part = exchange.next()) {
                is ResponsePart.Broken -> return SendResult.Failed(AttemptOutcome.Unknown(part.reason.toUnknown()))
                is ResponsePart.Head -> {
                    val head = dialect.read(part.status, part.headers)
                    skipping = head.request != null && head.request != request.id
                    if (!skipping) {
                        return SendResult.Answering(head, exchange)
                    }
                    context.log.record("answer_of_other_request", "request" to request.id, "answerTo" to head.request)
                }
                is ResponsePart.Bytes, ResponsePart.End -> Unit
            }
        }
    }

}

/** One request at an endpoint, from its sending to the end of its answer. */
class EndpointExchange(
    private val pool: ConnectionPool,
    private val connection: HttpConnection,
    private val entry: EndpointEntry,
) {
    private var open = true

    init {
        entry.inFlight += 1
    }

    /** Waits for the next part of the answer. */
    suspend fun next(): ResponsePart = connection.next()

    /** Gives the connection back after a whole answer, for [idleTimeout] at the most. */
    fun complete(idleTimeout: Duration?) {
        if (end()) {
            val rest = idleTimeout ?: Duration.ofSeconds(DEFAULT_IDLE_SECONDS)
            pool.release(connection, rest.multipliedBy(2).dividedBy(3), IDLE_CONNECTIONS)
        }
    }

    /** Closes the connection, which tells the endpoint that nobody waits for the answer. */
    fun close() {
        if (end()) {
            pool.discard(connection)
        }
    }

    private fun end(): Boolean {
        val ended = open
        if (open) {
            open = false
            entry.inFlight -= 1
        }
        return ended
    }
}

/** Why the outcome is unknown when the connection broke for this reason. */
internal fun BreakReason.toUnknown(): UnknownReason = when (this) {
    BreakReason.CLOSED, BreakReason.RESET -> UnknownReason.CONNECTION_LOST
    BreakReason.MALFORMED -> UnknownReason.MALFORMED
}

package comfreypath.router.sending

import com.github.michaelbull.result.fold
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.UnknownReason
import comfreypath.router.RouterContext
import comfreypath.router.request.CallerRequest
import comfreypath.router.request.EndpointDialect
import comfreypath.router.request.EndpointResponseHead
import comfreypath.router.request.SendPlan
import comfreypath.router.telemetry.TRACE_PARENT
import comfreypath.transport.Address
import comfreypath.transport.ConnectionPool
import comfreypath.transport.HttpConnection
import comfreypath.transport.ResponsePart
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import java.time.Instant

private const val LONGEST_REST_SECONDS = 4L
private const val FRESH_MILLISECONDS = 250L

/** How sending a request went up to the head of its answer. */
sealed interface SendResult {
    /** The attempt is over without an answer. */
    class Failed(val outcome: AttemptOutcome) : SendResult

    /** An answer to this request has begun. */
    class Responding(val head: EndpointResponseHead, val exchange: EndpointExchange) : SendResult
}

/** Sends requests to endpoints and waits for the heads of their answers. */
class EndpointSender(
    private val context: RouterContext,
    private val pool: ConnectionPool,
    private val dialect: EndpointDialect,
    private val tracker: EndpointTracker,
) {
    private val longestRest = Duration.ofSeconds(LONGEST_REST_SECONDS)

    /**
     * A server may close a connection that rests just as the next request is sent on it. A request that can't be sent
     * again then is lost, so that it takes a connection only while that is known to be fresh.
     */
    private val freshRest = Duration.ofMillis(FRESH_MILLISECONDS)

    /** Sends [request] as [plan] says, and waits until [deadline] for the answer's head. */
    suspend fun send(request: CallerRequest, plan: SendPlan, repeatable: Boolean, deadline: Instant): SendResult {
        val address = Address(plan.endpoint.host, plan.endpoint.port)
        val rest = if (repeatable) longestRest else freshRest
        return pool.acquire(address, rest, context.options.timeouts.connect).fold(
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
        val entry = tracker.entry(plan.endpoint.name)
        val exchange = EndpointExchange(pool, connection)
        val span = context.tracing.start("endpoint", plan.traceParent)
        val head = dialect.encode(request, plan)
        span.traceParent?.let { head.headers.set(TRACE_PARENT, it) }
        if (!connection.send(head, request.body)) {
            exchange.close()
            span.end(succeeded = false)
            return SendResult.Failed(AttemptOutcome.NotSent("the connection had closed"))
        }
        val sentAt = context.now()
        entry.recordSent(sentAt)
        var answered = false
        try {
            val left = Duration.between(sentAt, deadline).toMillis()
            val result = withTimeoutOrNull(left) { awaitHead(request, exchange) }
                ?: SendResult.Failed(AttemptOutcome.Unknown(UnknownReason.TIMED_OUT))
            answered = result is SendResult.Responding
            return result
        } finally {
            entry.recordSettled(sentAt, answered, context.now())
            span.end(succeeded = answered)
            if (!answered) {
                exchange.close()
            }
        }
    }

    /** Waits for the head of the answer to this request, skipping late answers to other requests. */
    private suspend fun awaitHead(request: CallerRequest, exchange: EndpointExchange): SendResult {
        var result: SendResult? = null
        while (result == null) {
            val part = exchange.next()
            if (part is ResponsePart.Aborted) {
                result = SendResult.Failed(AttemptOutcome.Unknown(part.reason.toUnknownReason()))
            } else if (part is ResponsePart.Head) {
                result = ownAnswer(request, exchange, part)
            }
        }
        return result
    }

    private fun ownAnswer(request: CallerRequest, exchange: EndpointExchange, part: ResponsePart.Head): SendResult? {
        val head = dialect.read(part.status, part.headers)
        if (head.requestId == null || head.requestId == request.id) {
            return SendResult.Responding(head, exchange)
        }
        context.log.record("answer_of_other_request", "request" to request.id, "answerTo" to head.requestId)
        return null
    }
}

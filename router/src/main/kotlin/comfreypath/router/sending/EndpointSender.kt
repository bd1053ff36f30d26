package comfreypath.router.sending

import com.github.michaelbull.result.fold
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.coordination.verdict.AwaitedResponse
import comfreypath.coordination.verdict.ResponseOwner
import comfreypath.coordination.verdict.ResponseOwnership
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

private const val MAX_FOREIGN_BYTES = 1_048_576
private const val MAX_FOREIGN_HEADS = 16
private const val MAX_IDLE_SECONDS = 4L

/** The idle connections to an endpoint up to which one that was opened in vain is kept. */
private const val MAX_UNUSED_CONNECTIONS = 2
private const val MAX_IDLE_NON_REPEATABLE_MILLISECONDS = 250L

/** Below any time that a connection can have been idle, so that a new one is opened. */
private const val NO_IDLE_MILLISECONDS = -1L

/** The result of sending a request and waiting for the response head. */
sealed interface SendResult {
    /** The attempt ended without a response. */
    class Failed(val outcome: AttemptOutcome) : SendResult

    /** The head of the response has arrived; the body follows on [exchange]. */
    class Responding(val head: EndpointResponseHead, val exchange: EndpointExchange) : SendResult
}

/**
 * When a request may be sent.
 *
 * @property repeatable whether the request may be sent on a connection that the endpoint may be closing
 * @property deadline when the request times out
 * @property wanted false once the caller has left
 * @property accepted false once the endpoint gets no new requests
 */
class SendLimits(
    val repeatable: Boolean,
    val deadline: Instant,
    val wanted: () -> Boolean = { true },
    val accepted: () -> Boolean = { true },
)

/** Sends requests to endpoints and waits for the response heads. */
class EndpointSender(
    private val context: RouterContext,
    private val pool: ConnectionPool,
    private val dialect: EndpointDialect,
    private val tracker: EndpointTracker,
) {
    private val maxIdleTime = Duration.ofSeconds(MAX_IDLE_SECONDS)

    /**
     * A server may close an idle connection just as the next request is sent on it. A request that is not repeatable
     * would then be lost, so it only uses connections that were idle for a short time.
     */
    private val maxIdleTimeNonRepeatable = Duration.ofMillis(MAX_IDLE_NON_REPEATABLE_MILLISECONDS)

    private val noIdleTime = Duration.ofMillis(NO_IDLE_MILLISECONDS)

    /** Sends [request] according to [plan] within [limits], and waits for the response head. */
    suspend fun send(
        request: CallerRequest,
        plan: SendPlan,
        limits: SendLimits,
        activity: ResponseActivity,
    ): SendResult {
        val deadline = limits.deadline
        val address = Address(plan.endpoint.host, plan.endpoint.port)
        val idleLimit = idleLimit(plan, limits)
        val connectTimeout = minOf(context.options.timeouts.connect, Duration.between(context.now(), deadline))
        if (connectTimeout.toMillis() <= 0) {
            return SendResult.Failed(AttemptOutcome.NotSent("the deadline has passed", endpointFailed = false))
        }
        return pool.acquire(address, idleLimit, connectTimeout, request.id.text).fold(
            success = { acquired ->
                val timeLeft = Duration.between(context.now(), deadline)
                val obstacle = obstacle(plan.endpoint, limits, timeLeft)
                if (obstacle != null) {
                    pool.release(acquired.connection, maxIdleTime, MAX_UNUSED_CONNECTIONS)
                    SendResult.Failed(obstacle)
                } else {
                    exchange(request, plan.copy(timeLeft = timeLeft), acquired.connection, limits, activity)
                }
            },
            failure = { SendResult.Failed(AttemptOutcome.NotSent("connect: ${it.cause}")) },
        )
    }

    private fun idleLimit(plan: SendPlan, limits: SendLimits): Duration {
        val refusedWithoutIdAt = tracker.entry(plan.endpoint.name).refusedWithoutIdAt
        return when {
            ResponseOwnership.needsNewConnection(limits.repeatable, refusedWithoutIdAt, context.now()) -> noIdleTime
            limits.repeatable -> maxIdleTime
            else -> maxIdleTimeNonRepeatable
        }
    }

    /** Why a request that has a connection is not sent after all; null if it is. */
    private fun obstacle(endpoint: Endpoint, limits: SendLimits, timeLeft: Duration): AttemptOutcome? = when {
        !limits.wanted() -> AttemptOutcome.NotSent("the caller has left", endpointFailed = false)
        timeLeft.toMillis() <= 0 -> AttemptOutcome.NotSent("the deadline has passed", endpointFailed = false)
        !limits.accepted() || !tracker.announcements.of(endpoint).allowsRequests -> AttemptOutcome.Withheld
        !tracker.limits.tryAcquire(endpoint) -> AttemptOutcome.Withheld
        else -> null
    }

    private suspend fun exchange(
        request: CallerRequest,
        plan: SendPlan,
        connection: HttpConnection,
        limits: SendLimits,
        activity: ResponseActivity,
    ): SendResult {
        val entry = tracker.entry(plan.endpoint.name)
        val exchange = EndpointExchange(pool, connection, activity)
        val span = context.tracing.start("endpoint", plan.traceParent)
        val head = dialect.encode(request, plan)
        span.traceParent?.let { head.headers.set(TRACE_PARENT, it) }
        if (!connection.send(head, request.body, request.id.text)) {
            exchange.close()
            span.end(succeeded = false)
            return SendResult.Failed(AttemptOutcome.NotSent("the connection had closed"))
        }
        val sentAt = context.now()
        activity.connection = exchange.use
        activity.recordAwaiting()
        entry.recordSent(sentAt)
        var responded = false
        try {
            val timeLeft = Duration.between(sentAt, limits.deadline).toMillis()
            val awaited = AwaitedResponse(request.id, limits.repeatable, exchange.firstOnConnection)
            val result = withTimeoutOrNull(timeLeft) { awaitHead(awaited, plan, connection, exchange) }
                ?: SendResult.Failed(AttemptOutcome.Unknown(UnknownReason.TIMED_OUT))
            responded = result is SendResult.Responding
            if (responded) activity.recordHeard()
            return result
        } finally {
            entry.recordSettled(sentAt, responded, context.now())
            span.end(succeeded = responded)
            if (!responded) {
                exchange.close()
            }
        }
    }

    /** Waits for the head of the [awaited] response, skipping late responses to other requests. */
    private suspend fun awaitHead(
        awaited: AwaitedResponse,
        plan: SendPlan,
        connection: HttpConnection,
        exchange: EndpointExchange,
    ): SendResult {
        var result: SendResult? = null
        var foreignBytes = 0
        var foreignHeads = 0
        while (result == null && foreignBytes <= MAX_FOREIGN_BYTES && foreignHeads <= MAX_FOREIGN_HEADS) {
            when (val part = connection.next()) {
                is ResponsePart.Aborted ->
                    result = SendResult.Failed(AttemptOutcome.Unknown(part.reason.toUnknownReason()))
                is ResponsePart.Head -> {
                    result = matchHead(awaited, plan, exchange, part)
                    foreignHeads += 1
                }
                is ResponsePart.Bytes -> foreignBytes += part.bytes.size
                ResponsePart.End -> Unit
            }
        }
        return result ?: SendResult.Failed(AttemptOutcome.Unknown(UnknownReason.TOO_MUCH_FOREIGN))
    }

    private fun matchHead(
        awaited: AwaitedResponse,
        plan: SendPlan,
        exchange: EndpointExchange,
        part: ResponsePart.Head,
    ): SendResult? {
        val head = dialect.read(part.status, part.headers)
        tracker.announcements.observe(plan.endpoint, head, awaited.request)
        tracker.limits.observe(plan.endpoint, head, awaited.request, sentAt = exchange.awaitingSince ?: Instant.MIN)
        tracker.told.observe(plan.endpoint, tracker.entry(plan.endpoint.name), head, awaited.request)
        val owner = ResponseOwnership.ownerOf(awaited, head.requestId, head.status, head.notRun)
        if (!ResponseOwnership.keepsConnection(head.requestId)) {
            exchange.retire()
            if (head.notRun) tracker.entry(plan.endpoint.name).refusedWithoutIdAt = context.now()
        }
        return when (owner) {
            ResponseOwner.THIS_REQUEST -> SendResult.Responding(head, exchange)
            ResponseOwner.OTHER_REQUEST -> {
                context.log.record(
                    "answer_of_other_request",
                    "request" to awaited.request,
                    "answerTo" to head.requestId,
                    "connectionPort" to exchange.use.localPort,
                    "connectionRequests" to exchange.use.requestNumber,
                )
                null
            }
            ResponseOwner.UNCERTAIN -> {
                context.log.record(
                    "refusal_not_believed",
                    "request" to awaited.request,
                    "endpoint" to plan.endpoint.name,
                    "status" to head.status,
                )
                SendResult.Failed(AttemptOutcome.Unknown(UnknownReason.UNIDENTIFIED_REFUSAL))
            }
        }
    }
}

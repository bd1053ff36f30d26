package comfreypath.router.request

import com.github.michaelbull.result.fold
import comfreypath.router.RouterContext
import comfreypath.router.view.ConfigurationView
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import java.io.IOException
import java.time.Duration
import java.time.Instant

private const val MAX_UNNOTICED_WAIT_MILLISECONDS = 100L

/** A task with this delay runs after the event loop has read its connections once more. */
private const val NEXT_READ_MILLISECONDS = 1L

/** How long a request may have waited to be read before its caller is suspected of having left. */
private val MAX_UNNOTICED_WAIT: Duration = Duration.ofMillis(MAX_UNNOTICED_WAIT_MILLISECONDS)

/** Reads callers' requests, runs them through [stages], and writes refusals. */
class RequestPipeline(
    private val context: RouterContext,
    private val dialect: CallerDialect,
    private val configuration: ConfigurationView,
    private val stages: Stage,
) {
    private val open = LinkedHashMap<CallerExchange, Job>()
    private var stopped = false

    /** The number of requests in progress. */
    var inProgress: Int = 0
        private set

    /** Handles a caller's request until the response is written. */
    suspend fun handle(incoming: IncomingRequest, writer: ResponseWriter) {
        inProgress += 1
        context.metrics.inProgress.set(inProgress.toDouble())
        try {
            dialect.read(incoming, receivedAt()).fold(
                success = { request -> start(CallerExchange(request, writer, incoming.memory)) },
                failure = { refusal -> write(refusal, null, writer) },
            )
        } finally {
            inProgress -= 1
            context.metrics.inProgress.set(inProgress.toDouble())
        }
    }

    /**
     * When the request arrived. On an overloaded instance it may have waited to be read. Its caller's close may wait
     * too, and is read first.
     */
    private suspend fun receivedAt(): Instant {
        val waited = context.ticker.overdue()
        val arrivedAt = context.now() - waited
        if (waited > MAX_UNNOTICED_WAIT) {
            delay(NEXT_READ_MILLISECONDS)
        }
        return arrivedAt
    }

    private suspend fun start(exchange: CallerExchange) {
        if (stopped) {
            refuse(exchange, stopRefusal(exchange))
            return
        }
        open[exchange] = currentCoroutineContext().job
        try {
            traced(exchange)
        } finally {
            open.remove(exchange)
        }
    }

    /**
     * Ends the requests in progress whose response has not begun with a refusal, and refuses further requests. Returns
     * the number of requests that it ended.
     */
    suspend fun refuseRemaining(): Int {
        stopped = true
        val remaining = open.filterKeys { !it.writer.started }
        remaining.forEach { (exchange, job) ->
            try {
                refuse(exchange, stopRefusal(exchange))
            } catch (closed: IOException) {
                context.log.record("refusal_failed", "request" to exchange.request.id, "error" to closed)
            }
            job.cancel(CancellationException("the router stops"))
        }
        return remaining.size
    }

    /** An earlier request with the same idempotency key may have run too. */
    private fun stopRefusal(exchange: CallerExchange): Refusal =
        if (exchange.offered || exchange.request.idempotencyKey != null) {
            Refusal(RefusalCode.ANSWER_LOST, "the router stopped before the answer; the request may have run")
        } else {
            Refusal(RefusalCode.NOT_READY, "the router is stopping")
        }

    private suspend fun traced(exchange: CallerExchange) {
        val span = context.tracing.start("caller", exchange.traceParent)
        span.setAttribute("request", exchange.request.id.text)
        exchange.traceParent = span.traceParent
        try {
            stages(exchange)
        } catch (cancellation: CancellationException) {
            if (exchange.refusal == null) recordCallerLeft(exchange)
            throw cancellation
        } finally {
            span.end(succeeded = exchange.writer.started && exchange.refusal == null)
        }
    }

    private fun recordCallerLeft(exchange: CallerExchange) = context.log.record(
        "caller_left",
        "request" to exchange.request.id,
        "team" to exchange.team,
        "waitedMs" to Duration.between(exchange.request.receivedAt, context.now()).toMillis(),
        "answerBegun" to (exchange.firstByteAt != null),
    )

    /** Logs [refusal] and sends it to the caller. */
    suspend fun refuse(exchange: CallerExchange, refusal: Refusal) {
        exchange.refusal = refusal
        val waited = Duration.between(exchange.request.receivedAt, context.now()).toMillis()
        context.log.record(
            "refused",
            "request" to exchange.request.id,
            "code" to refusal.code.text,
            "detail" to refusal.detail,
            "waitedMs" to waited,
            "configuration" to configuration.current?.value?.version,
            "configurationAgeMs" to configuration.age()?.toMillis(),
        )
        write(refusal, exchange.request, exchange.writer)
    }

    private suspend fun write(refusal: Refusal, request: CallerRequest?, writer: ResponseWriter) {
        context.metrics.refused.labelValues(refusal.code.text).inc()
        if (request == null) {
            context.log.record("refused", "code" to refusal.code.text, "detail" to refusal.detail)
        }
        val response = dialect.encode(refusal, request)
        writer.respond(HttpResponseStatus.valueOf(response.status), response.headers, response.body)
    }
}

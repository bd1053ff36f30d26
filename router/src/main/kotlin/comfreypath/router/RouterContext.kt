package comfreypath.router

import comfreypath.coordination.invariant.InvariantMonitor
import comfreypath.router.telemetry.EventLog
import comfreypath.router.telemetry.RouterMetrics
import comfreypath.router.telemetry.ThrottledLog
import comfreypath.router.telemetry.Tracing
import comfreypath.transport.BodyMemory
import comfreypath.transport.ConnectionBudget
import comfreypath.transport.dispatcher
import io.netty.channel.EventLoop
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

private const val TICK_MILLISECONDS = 100L

/**
 * Dependencies shared by all components of one router. The components run only on [loop], so that their state needs no
 * lock.
 *
 * @property scope runs background tasks and work that outlives the request that started it
 */
data class RouterContext(
    private val settings: CurrentOptions,
    val loop: EventLoop,
    val clock: InstantSource,
    val log: EventLog,
    val metrics: RouterMetrics,
    val monitor: InvariantMonitor,
    val tracing: Tracing,
) {
    /** The settings in force. */
    val options: RouterOptions get() = settings.value

    /** For lines that clients can cause at any rate. */
    val throttledLog = ThrottledLog(clock) { event, fields -> log.record(event, fields) }

    val scope = CoroutineScope(
        loop.dispatcher() + SupervisorJob() + CoroutineExceptionHandler { coroutine, failure ->
            val task = coroutine[CoroutineName]?.name ?: "unnamed"
            metrics.taskFailures.labelValues(task).inc()
            throttledLog.record("task_failed", task, "task" to task, "error" to failure.toString())
        },
    )

    /** Bounds the requests and responses of all servers, and the connections of these and to endpoints. */
    val memory = BodyMemory(
        requestBytes = options.requestMemoryBytes,
        responseBytes = options.responseMemoryBytes,
        connections = ConnectionBudget { options.maxTotalConnections },
    )

    /** Wakes the periodic tasks of this router together. */
    val ticker = SharedTicker(loop, Duration.ofMillis(TICK_MILLISECONDS), clock)

    /** The current time of [clock]. */
    fun now(): Instant = clock.instant()
}

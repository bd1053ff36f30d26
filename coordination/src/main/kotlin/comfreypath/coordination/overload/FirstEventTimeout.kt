package comfreypath.coordination.overload

import comfreypath.coordination.routing.Route
import java.time.Duration

private const val MIN_SECONDS = 2L
private const val LATENCY_TARGET_FACTOR = 4L
private const val GAP_TARGET_FACTOR = 8L

/**
 * How long callers of a stream wait for its first event, as defined by the platform's protocol.
 *
 * The maximum of a fixed minimum, a multiple of the latency target and a multiple of the gap target.
 */
object FirstEventTimeout {
    private val minTimeout: Duration = Duration.ofSeconds(MIN_SECONDS)

    /** The maximum wait for the first event of a stream on [route]. */
    fun of(route: Route): Duration = maxOf(
        minTimeout,
        route.latencyTarget.multipliedBy(LATENCY_TARGET_FACTOR),
        (route.gapTarget ?: Duration.ZERO).multipliedBy(GAP_TARGET_FACTOR),
    )
}

package comfreypath.coordination.overload

import comfreypath.coordination.routing.Route
import java.time.Duration

private const val LEAST_SECONDS = 2L
private const val TARGETS = 4L
private const val GAPS = 8L

/** How long callers of streams wait for the first event: as the platform's protocol says, whichever is longest. */
object FirstEventTimeout {
    private val least: Duration = Duration.ofSeconds(LEAST_SECONDS)

    /** The longest wait for the first event of a stream on [route]. */
    fun of(route: Route): Duration = maxOf(
        least,
        route.latencyTarget.multipliedBy(TARGETS),
        (route.gapTarget ?: Duration.ZERO).multipliedBy(GAPS),
    )
}

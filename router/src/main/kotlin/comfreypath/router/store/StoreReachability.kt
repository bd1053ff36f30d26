package comfreypath.router.store

import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/**
 * Whether the store responds to this router, by the outcomes of its calls.
 *
 * @property onRecovered called when the store has responded after an outage
 */
class StoreReachability(private val clock: InstantSource, private val onRecovered: () -> Unit = {}) {
    private var respondedAt: Instant? = null
    private var failedAt: Instant? = null

    /**
     * The time since the last response; null before the first.
     *
     * Most routers of a large fleet do not call the store. The age is zero while no call has failed since the last
     * response.
     */
    val responseAge: Duration?
        get() = respondedAt?.let { responded ->
            val failed = failedAt?.let { it > responded } ?: false
            if (failed) Duration.between(responded, clock.instant()) else Duration.ZERO
        }

    /** Records a response; [afterOutage] is true if the calls of the same kind had failed before. */
    fun recordResponse(afterOutage: Boolean) {
        respondedAt = clock.instant()
        if (afterOutage) onRecovered()
    }

    /** Records that a call failed. */
    fun recordFailure() {
        failedAt = clock.instant()
    }
}

package comfreypath.router.store

import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/**
 * Whether the store responds to this router, by the outcomes of its calls.
 *
 * @property onRecovered called with the time for which calls had failed when the store responds again
 */
class StoreReachability(private val clock: InstantSource, private val onRecovered: (Duration) -> Unit = {}) {
    private var respondedAt: Instant? = null
    private var failingSince: Instant? = null

    /**
     * The time since the last response; null before the first.
     *
     * Most routers of a large fleet do not call the store. The age is zero while no call has failed since the last
     * response.
     */
    val responseAge: Duration?
        get() = respondedAt?.let { responded ->
            if (failingSince != null) Duration.between(responded, clock.instant()) else Duration.ZERO
        }

    /** The time for which calls have failed without a response; zero after a response. */
    val failingFor: Duration
        get() = failingSince?.let { Duration.between(it, clock.instant()) } ?: Duration.ZERO

    /** Called when a connection to the store was silent, so that others may be silent as well. */
    var onSilence: () -> Unit = {}

    /** Records that a call got no response in time, while others may get one. */
    fun recordSilence() = onSilence()

    /** Records a response. */
    fun recordResponse() {
        val failed = failingFor
        respondedAt = clock.instant()
        failingSince = null
        if (failed > Duration.ZERO) onRecovered(failed)
    }

    /** Records that a call failed, to which the store has not responded since [unansweredSince]. */
    fun recordFailure(unansweredSince: Instant = clock.instant()) {
        if (failingSince == null) {
            failingSince = maxOf(unansweredSince, respondedAt ?: unansweredSince)
        }
    }
}

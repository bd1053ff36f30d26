package comfreypath.coordination.rollout

import java.time.Duration

/**
 * How one attempt at an endpoint went.
 *
 * @property target whether the endpoint runs the version that is being rolled out
 * @property hasPrompt whether the time to the first event depends on what the endpoint has cached
 * @property firstEvent the time to the response or to the first event of a stream; null if there was none, or if the
 * endpoint is known to be slow because it has just started
 * @property pace the mean time between two events of a stream; null if unknown
 * @property partial whether the times are lower bounds, since the response did not end
 */
data class AttemptSample(
    val route: String,
    val target: Boolean,
    val result: AttemptResult,
    val hasPrompt: Boolean = false,
    val firstEvent: Duration? = null,
    val pace: Duration? = null,
    val partial: Boolean = false,
)

/** Whether an attempt brought a response. */
enum class AttemptResult {
    /** The endpoint has begun to respond; the end of the response is not known yet. */
    RESPONDING,

    /** The endpoint responded. */
    ANSWERED,

    /** The endpoint responded with an error of its own. */
    FAILED,

    /** No complete response arrived. */
    LOST,
}

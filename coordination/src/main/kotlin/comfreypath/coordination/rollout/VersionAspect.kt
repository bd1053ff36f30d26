package comfreypath.coordination.rollout

/**
 * A way in which responses of a version can be worse than those of the version before.
 *
 * @property baselineFloor the rate of bad samples that is expected of any version, even if the baseline has fewer
 * @property effect the increase of that rate for which the test is designed
 */
enum class VersionAspect(val baselineFloor: Double, val effect: Double) {
    /** The endpoint responded with an error of its own. */
    FAILED(baselineFloor = 0.05, effect = 0.25),

    /** No complete response arrived. A crash of one endpoint loses several at once. */
    LOST(baselineFloor = 0.15, effect = 0.35),

    /** The response, or the first event of a stream, came late. */
    FIRST_EVENT(baselineFloor = 0.05, effect = 0.25),

    /** As [FIRST_EVENT], for a prompt: a new version starts with empty prompt caches. */
    FIRST_EVENT_OF_PROMPT(baselineFloor = 0.25, effect = 0.35),

    /** The events of a stream followed each other slowly. */
    PACE(baselineFloor = 0.05, effect = 0.25),
}

package comfreypath.coordination.rollout

import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.RolloutState
import java.time.Instant
import kotlin.math.ceil

/** One endpoint more than the share needs, so that a single faulty endpoint isn't taken for a bad version. */
private const val SPARE_ENDPOINTS = 1

/** Restricts a request to the endpoints of the versions that a rollout allows. */
class VersionFilter(private val bounds: RolloutBounds) {
    /**
     * Those of [endpoints] that may receive [request] at [now].
     *
     * If the chosen version has none, the other one is used, unless it was found to be bad.
     */
    fun allowed(
        progress: RolloutProgress,
        request: VersionRequest,
        endpoints: List<Endpoint>,
        now: Instant,
    ): List<Endpoint> {
        val (target, baseline) = endpoints.partition { it.version == progress.order.target }
        return when {
            progress.recorded == RolloutState.ROLLED_BACK -> baseline
            progress.recorded == RolloutState.COMPLETED ->
                endpoints.filter { it.version !in progress.baselineVersions }.ifEmpty { baseline }
            progress.held -> baseline
            toTarget(progress, request, now) -> canaries(progress, target, now).ifEmpty { baseline }
            else -> baseline.ifEmpty { target }
        }
    }

    private fun toTarget(progress: RolloutProgress, request: VersionRequest, now: Instant): Boolean {
        val schedule = RolloutSchedule(bounds, progress.order.duration)
        val age = progress.age(now)
        val ramped = age >= schedule.rampAt && progress.verdict == VersionVerdict.GOOD
        return when {
            ramped -> request.hash < schedule.shareAt(age)
            request.retry -> false
            else -> progress.quota.admits(request, schedule, bounds, age)
        }
    }

    /** The endpoints of the target to use: few of them at first, so that each is about as loaded as the others. */
    private fun canaries(progress: RolloutProgress, target: List<Endpoint>, now: Instant): List<Endpoint> {
        val schedule = RolloutSchedule(bounds, progress.order.duration)
        val count = ceil(schedule.shareAt(progress.age(now)) * target.size).toInt() + SPARE_ENDPOINTS
        return target.sortedBy { it.name }.take(count)
    }
}

package comfreypath.coordination.rollout

import comfreypath.coordination.Step
import comfreypath.coordination.routing.Rollout
import comfreypath.coordination.routing.RolloutState
import java.time.Duration
import java.time.Instant

private const val TAKEOVER_MILLISECONDS = 300L
private const val BACKOFF_MILLISECONDS = 300L
private const val MAX_BASELINE_VERSIONS = 16

private typealias RolloutStep = Step<RolloutProgress, RolloutAction>

/**
 * Judges the target version of one rollout, and records its progress in the store.
 *
 * Every router judges by its own samples and those that its peers report, and stops sending requests to a bad target
 * by itself. The progress is recorded by the first of the live routers in an order that all of them compute alike;
 * each further one waits a little longer, and writes are conditional, so that several writers do no harm. After a
 * write with an unknown outcome the object is read before it is written again.
 */
class RolloutController(private val bounds: RolloutBounds) {
    /** The state when [order] is first received at [now]. */
    fun start(order: Rollout, revision: Long, now: Instant) = RolloutProgress(order, revision, startedAt = now)

    /** The planned shares of the target in the rollout of [progress]. */
    fun schedule(progress: RolloutProgress) = RolloutSchedule(bounds, progress.order.duration)

    /** Returns the state after [event] and the actions to perform. */
    fun step(progress: RolloutProgress, event: RolloutEvent, now: Instant): RolloutStep = when (event) {
        is RolloutEvent.OrderReceived -> Step(ordered(progress, event.order, event.revision, now))
        is RolloutEvent.Sent -> Step(sent(progress, event))
        is RolloutEvent.Withheld -> Step(
            progress.copy(quota = progress.quota.without(event.route, event.version == progress.order.target)),
        )
        is RolloutEvent.Sampled -> judged(EvidenceMerge.sampled(progress, event))
        is RolloutEvent.ReportReceived -> judged(EvidenceMerge.reported(progress, event, now))
        is RolloutEvent.Tick -> ticked(progress, event, now)
        is RolloutEvent.WriteDone -> Step(
            ordered(progress.idle(now, unconfirmed = false), event.order, event.revision, now),
        )
        RolloutEvent.WriteNotConfirmed -> Step(progress.idle(now + BACKOFF, unconfirmed = true))
        RolloutEvent.ReadFailed -> Step(progress.idle(now + BACKOFF, unconfirmed = true))
    }

    private fun RolloutProgress.idle(notBefore: Instant, unconfirmed: Boolean) =
        copy(write = write.copy(calling = false, unconfirmed = unconfirmed, notBefore = notBefore))

    private fun ordered(progress: RolloutProgress, order: Rollout, revision: Long, now: Instant): RolloutProgress =
        when {
            revision < progress.revision -> progress
            RolloutReport.orderKey(order) != RolloutReport.orderKey(progress.order) ->
                start(order, revision, now).copy(write = ProgressWrite(calling = progress.write.calling))
            else -> progress.copy(order = order, revision = revision)
        }

    private fun sent(progress: RolloutProgress, event: RolloutEvent.Sent): RolloutProgress {
        val canary = event.version == progress.order.target
        val versions = progress.baselineVersions
        return progress.copy(
            quota = progress.quota.after(event.route, canary),
            baselineVersions =
            if (canary || versions.size >= MAX_BASELINE_VERSIONS) versions else versions.add(event.version),
        )
    }

    /** Holds the target once it is found to be bad, for as long as the order stands. */
    private fun judged(progress: RolloutProgress): RolloutStep =
        if (!progress.held && progress.open && progress.judge.verdict == VersionVerdict.BAD) {
            Step(progress.copy(held = true), listOf(RolloutAction.Announce))
        } else {
            Step(progress)
        }

    private fun ticked(progress: RolloutProgress, tick: RolloutEvent.Tick, now: Instant): RolloutStep {
        val goal = goal(progress, tick, now)
        val write = progress.write
        val current = if (goal == write.goal) write else write.copy(goal = goal, dueAt = now)
        val next = progress.copy(write = current)
        val turn = current.dueAt + TAKEOVER_DELAY.multipliedBy(tick.rank.toLong())
        return when {
            goal == null || current.calling || now < current.notBefore || now < turn -> Step(next)
            current.unconfirmed -> Step(next.copy(write = current.copy(calling = true)), listOf(RolloutAction.Read))
            else -> Step(
                next.copy(write = current.copy(calling = true)),
                listOf(RolloutAction.Write(progress.order, goal, progress.revision)),
            )
        }
    }

    /** The state to record in the store; null if the recorded one is right. */
    private fun goal(progress: RolloutProgress, tick: RolloutEvent.Tick, now: Instant): RolloutState? {
        val due = progress.age(now) >= schedule(progress).completeAt
        val goal = when (progress.verdict) {
            VersionVerdict.BAD -> RolloutState.ROLLED_BACK
            VersionVerdict.SUSPECT -> if (due) RolloutState.ROLLED_BACK else RolloutState.RUNNING
            VersionVerdict.UNDECIDED, VersionVerdict.GOOD ->
                if (due && tick.targetUsable) RolloutState.COMPLETED else RolloutState.RUNNING
        }
        return goal.takeIf { progress.open && it != progress.recorded }
    }

    private companion object {
        val TAKEOVER_DELAY: Duration = Duration.ofMillis(TAKEOVER_MILLISECONDS)
        val BACKOFF: Duration = Duration.ofMillis(BACKOFF_MILLISECONDS)
    }
}

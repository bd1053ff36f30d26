package comfreypath.coordination.rollout

import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Rollout
import comfreypath.coordination.routing.RolloutState
import comfreypath.coordination.routing.testEndpoint
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

private const val REVISION = 7L

class RolloutControllerTest {
    private val bounds = RolloutBounds()
    private val controller = RolloutController(bounds)
    private val filter = VersionFilter(bounds)
    private val start = Instant.ofEpochSecond(1_000)
    private val target = VersionName("v2")
    private val order = Rollout(ServiceName("s"), target, Duration.ofSeconds(15), state = null, stateTarget = null)
    private val old = testEndpoint(1)
    private val new = testEndpoint(2).copy(version = target)
    private val due = start.plusSeconds(14)
    private val first = RolloutEvent.Tick(rank = 0, targetUsable = true)
    private val allFailed = RouteEvidence(target = persistentMapOf(VersionAspect.FAILED to Tally(20, 20)))

    private fun recorded(state: RolloutState) = order.copy(state = state, stateTarget = target)

    private fun started(order: Rollout = this.order) = controller.start(order, REVISION, start)

    private fun RolloutProgress.after(event: RolloutEvent, now: Instant = start) = controller.step(
        this,
        event,
        now
    ).state

    private fun RolloutProgress.actions(event: RolloutEvent, now: Instant = start) =
        controller.step(this, event, now).actions

    private fun allowed(progress: RolloutProgress, now: Instant = start) = listOf(0.0, 0.5, 0.99).flatMap { hash ->
        val request = VersionRequest(route = 1, hash = hash, retry = false, routers = 1)
        filter.allowed(progress, request, listOf(old, new), now)
    }.toSet()

    @Test
    fun `the first router records that the rollout is running, the next one waits for it`() {
        val write = RolloutAction.Write(order, RolloutState.RUNNING, REVISION)
        expectThat(started().actions(first)).containsExactly(write)
        val second = RolloutEvent.Tick(rank = 1, targetUsable = true)
        val waiting = started().after(second)
        expectThat(waiting.actions(second, start.plusMillis(200))).isEmpty()
        expectThat(waiting.actions(second, start.plusMillis(400))).containsExactly(write)
    }

    @Test
    fun `a write without a clear outcome is followed by a read, and not repeated if it took effect`() {
        val unclear = started().after(first).after(RolloutEvent.WriteNotConfirmed)
        expectThat(unclear.actions(first)).isEmpty()
        val later = start.plusMillis(400)
        expectThat(unclear.actions(first, later)).containsExactly(RolloutAction.Read)
        val read = unclear.after(first, later)
            .after(RolloutEvent.WriteDone(recorded(RolloutState.RUNNING), REVISION + 1), later)
        expectThat(read.actions(first, later)).isEmpty()
        expectThat(read.revision).isEqualTo(REVISION + 1)
    }

    @Test
    fun `a failing target is held at once, and stays held after good responses`() {
        val step = controller.step(started(), RolloutEvent.Sampled(1, allFailed), start)
        expectThat(step.actions).containsExactly(RolloutAction.Announce)
        val good = RouteEvidence(target = persistentMapOf(VersionAspect.FAILED to Tally(500, 0)))
        val held = step.state.after(RolloutEvent.Sampled(1, good))
        expectThat(held.verdict).isEqualTo(VersionVerdict.BAD)
        expectThat(allowed(held)).containsExactly(old)
        expectThat(held.actions(first)).containsExactly(
            RolloutAction.Write(order, RolloutState.ROLLED_BACK, REVISION),
        )
    }

    @Test
    fun `a held target gets no requests even if no other endpoint is left`() {
        val held = started().after(RolloutEvent.Sampled(1, allFailed))
        val request = VersionRequest(route = 1, hash = 0.0, retry = false, routers = 1)
        expectThat(filter.allowed(held, request, listOf(new), start)).isEmpty()
        expectThat(filter.allowed(started(), request, listOf(new), start)).containsExactly(new)
    }

    @Test
    fun `a peer's report holds the target and carries the age of the order`() {
        val report = RolloutReport(RolloutReport.orderKey(order), Duration.ofSeconds(9), held = true)
        val progress = started().after(RolloutEvent.ReportReceived(InstanceName("router-2"), report))
        expectThat(progress.held).isTrue()
        expectThat(progress.age(start)).isEqualTo(Duration.ofSeconds(9))
        val younger = report.copy(age = Duration.ofSeconds(2))
        val same = progress.after(RolloutEvent.ReportReceived(InstanceName("router-3"), younger))
        expectThat(same.age(start)).isEqualTo(Duration.ofSeconds(9))
    }

    @Test
    fun `samples that a peer reports again are not counted again`() {
        val evidence = RouteEvidence(target = persistentMapOf(VersionAspect.FAILED to Tally(8, 2)))
        val report = RolloutReport(
            RolloutReport.orderKey(order),
            Duration.ZERO,
            routes = persistentMapOf(1 to evidence)
        )
        val received = RolloutEvent.ReportReceived(InstanceName("router-2"), report)
        val once = started().after(received)
        expectThat(once.after(received).judge).isEqualTo(once.judge)
        expectThat(once.judge.responses).isEqualTo(8)
    }

    @Test
    fun `a new order for another target starts anew`() {
        val held = started().after(RolloutEvent.Sampled(1, allFailed))
        val next = order.copy(target = VersionName("v3"))
        val progress = held.after(RolloutEvent.OrderReceived(next, REVISION + 1), due)
        expectThat(progress.held).isFalse()
        expectThat(progress.age(due)).isEqualTo(Duration.ZERO)
        val stale = RolloutReport(RolloutReport.orderKey(order), Duration.ofSeconds(9), held = true)
        expectThat(progress.after(RolloutEvent.ReportReceived(InstanceName("r"), stale), due)).isEqualTo(progress)
    }

    @Test
    fun `the state of another target does not end the rollout`() {
        val earlier = order.copy(state = RolloutState.COMPLETED, stateTarget = VersionName("v1"))
        expectThat(started(earlier).open).isTrue()
        expectThat(started(recorded(RolloutState.COMPLETED)).open).isFalse()
    }

    @Test
    fun `a rollout is not completed while its target has no endpoint`() {
        val running = started(recorded(RolloutState.RUNNING))
        expectThat(running.actions(RolloutEvent.Tick(rank = 0, targetUsable = false), due)).isEmpty()
        expectThat(running.actions(first, due)).containsExactly(
            RolloutAction.Write(recorded(RolloutState.RUNNING), RolloutState.COMPLETED, REVISION),
        )
    }

    @Test
    fun `a suspect target is rolled back when the time is over`() {
        val suspect = RouteEvidence(target = persistentMapOf(VersionAspect.FAILED to Tally(3, 3)))
        val running = started(recorded(RolloutState.RUNNING)).after(RolloutEvent.Sampled(1, suspect))
        expectThat(running.verdict).isEqualTo(VersionVerdict.SUSPECT)
        expectThat(running.actions(first)).isEmpty()
        expectThat(running.actions(first, due)).containsExactly(
            RolloutAction.Write(recorded(RolloutState.RUNNING), RolloutState.ROLLED_BACK, REVISION),
        )
    }

    @Test
    fun `after the end of a rollout only the version that won gets requests`() {
        val running = started().after(RolloutEvent.Sent(1, old.version))
        val completed = running.after(RolloutEvent.OrderReceived(recorded(RolloutState.COMPLETED), REVISION + 1))
        expectThat(allowed(completed)).containsExactly(new)
        val rolledBack = running.after(RolloutEvent.OrderReceived(recorded(RolloutState.ROLLED_BACK), REVISION + 1))
        expectThat(allowed(rolledBack)).containsExactly(old)
    }

    /** Endpoints that announced a pause or that they leave used up the share of the target, which got no request. */
    @Test
    fun `a request that was not sent does not count towards the target's share`() {
        val running = started().after(RolloutEvent.Sent(1, old.version))
        val withheld = running.after(RolloutEvent.Sent(1, target)).after(RolloutEvent.Withheld(1, target))
        expectThat(withheld.quota).isEqualTo(running.quota)
    }
}

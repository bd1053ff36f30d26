package comfreypath.coordination.rollout

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Rollout
import comfreypath.coordination.routing.RolloutState
import comfreypath.coordination.routing.testEndpoint
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration
import java.time.Instant

/** Guards against a version that was found to be bad and serves again because of a later order. */
class WithdrawnVersionsTest {
    private val service = testEndpoint(1).service
    private val now = Instant.ofEpochSecond(1_000)
    private val controller = RolloutController(RolloutBounds())
    private val v1 = testEndpoint(1).copy(version = VersionName("v1"))
    private val v2 = testEndpoint(2).copy(version = VersionName("v2"))
    private val v3 = testEndpoint(3).copy(version = VersionName("v3"))
    private val all = listOf(v1, v2, v3)
    private val bad = ServiceVersion(service, v2.version)

    private fun progress(target: String, state: RolloutState?, held: Boolean = false): RolloutProgress {
        val name = VersionName(target)
        val order = Rollout(service, name, Duration.ofSeconds(12), state, name.takeIf { state != null })
        return controller.start(order, revision = 1, now).copy(held = held)
    }

    private val withBad = WithdrawnVersions().withdrawn(bad, Withdrawal.BAD)

    @Test
    fun `a version that is held or rolled back is withdrawn, whatever is ordered next`() {
        listOf(progress("v2", RolloutState.RUNNING, held = true), progress("v2", RolloutState.ROLLED_BACK)).forEach {
            listOf(WithdrawnVersions().found(it), WithdrawnVersions().ended(it)).forEach { known ->
                expectThat(known.allowed(all, VersionName("v3"))).containsExactly(v1, v3)
                expectThat(known.allowed(listOf(v2), VersionName("v3"))).isEmpty()
            }
        }
    }

    @Test
    fun `a version whose rollout was not completed serves only if no other one can`() {
        val known = WithdrawnVersions().ended(progress("v2", RolloutState.RUNNING))
        expectThat(known.allowed(all, target = null)).containsExactly(v1, v3)
        expectThat(known.allowed(listOf(v2), target = null)).containsExactly(v2)
        expectThat(known.bad).isEmpty()
    }

    @Test
    fun `a version stays bad when another router has only seen that its rollout was not completed`() {
        val known = withBad.withdrawn(bad, Withdrawal.UNFINISHED)
        expectThat(known.bad).containsExactly(bad)
    }

    @Test
    fun `the status of a later order tells which versions were bad`() {
        val order = progress("v3", RolloutState.RUNNING).order.copy(badVersions = persistentSetOf(v2.version))
        expectThat(WithdrawnVersions().ordered(order).bad).containsExactly(bad)
    }

    @Test
    fun `a version serves again once it is ordered and completed`() {
        val order = progress("v2", state = null).order
        expectThat(withBad.readmitted(order).allowed(all, v2.version)).isEqualTo(all)
        val completed = withBad.found(progress("v2", RolloutState.COMPLETED))
        expectThat(completed.allowed(all, VersionName("v3"))).isEqualTo(all)
    }

    @Test
    fun `a bad version is forgotten when it has had no endpoints for a minute, not when their entries lapse`() {
        val lapsed = withBad.listed(emptySet(), now).listed(emptySet(), now.plusSeconds(30))
        expectThat(lapsed.bad).containsExactly(bad)
        val back = lapsed.listed(setOf(bad), now.plusSeconds(31)).listed(emptySet(), now.plusSeconds(80))
        expectThat(back.listed(emptySet(), now.plusSeconds(139)).bad).containsExactly(bad)
        expectThat(back.listed(emptySet(), now.plusSeconds(141)).bad).isEmpty()
    }

    @Test
    fun `a version of another service that has the same name is not concerned`() {
        val other = v2.copy(service = ServiceName("other"))
        expectThat(withBad.allowed(listOf(other), target = null)).containsExactly(other)
    }
}

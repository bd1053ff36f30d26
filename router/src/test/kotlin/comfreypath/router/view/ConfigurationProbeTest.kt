package comfreypath.router.view

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import comfreypath.coordination.fleet.ConfirmationStep
import comfreypath.coordination.routing.CallerLimits
import comfreypath.coordination.routing.Configuration
import comfreypath.router.MonotonicClock
import comfreypath.router.TestContext
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ScriptedStore
import comfreypath.router.store.StoreError
import comfreypath.router.store.StoreReachability
import comfreypath.router.store.StoredObject
import comfreypath.transport.dispatcher
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

private const val TEST_LIMIT_MILLISECONDS = 5_000L

class ConfigurationProbeTest {
    private val clock = MonotonicClock()
    private val context = TestContext.create(clock)
    private val view = ConfigurationView(context)
    private val maxAge = Duration.ofMillis(100)
    private val configuration = Configuration(
        version = 1,
        routes = persistentListOf(),
        services = persistentMapOf(),
        limits = CallerLimits(),
        teams = null,
    )

    private fun probe(read: suspend () -> Result<StoredObject<Configuration>?, StoreError>) = ConfigurationProbe(
        context = context,
        store = ScriptedStore(onRead = read),
        view = view,
        sink = ConfigurationSink(context, view),
        reachability = StoreReachability(clock),
        renewal = ConfirmationRenewal(
            ageRange = { ProbeAgeRange(Duration.ofSeconds(1), Duration.ofSeconds(1)) },
            next = { _, _ -> ConfirmationStep.Wait },
            askPeer = { },
        ),
    )

    private fun stored() = StoredObject(ObjectKinds.CONFIGURATION_NAME, 1, Ok(configuration), document = "{}")

    private fun test(body: suspend () -> Unit) = runBlocking {
        withTimeout(TEST_LIMIT_MILLISECONDS) { withContext(context.loop.dispatcher()) { body() } }
    }

    @Test
    fun `a read confirms the configuration`() = test {
        expectThat(probe { Ok(stored()) }.confirmedWithin(maxAge)).isTrue()
    }

    @Test
    fun `a failure while a configuration is applied does not leave later requests without a response`() = test {
        view.onChange { error("a listener failed") }
        val probe = probe {
            delay(1)
            Ok(stored())
        }
        probe.confirmedWithin(maxAge)
        delay(maxAge.toMillis() + 1)
        expectThat(probe.confirmedWithin(maxAge)).isTrue()
    }

    @Test
    fun `requests do not wait for a store that does not respond`() = test {
        val probe = probe { awaitCancellation() }
        val startedAt = clock.instant()
        expectThat(probe.confirmedWithin(maxAge)).isFalse()
        expectThat(Duration.between(startedAt, clock.instant())).isLessThan(Duration.ofSeconds(1))
        val refusedAt: Instant = clock.instant()
        expectThat(probe.confirmedWithin(maxAge)).isFalse()
        expectThat(Duration.between(refusedAt, clock.instant())).isLessThan(Duration.ofMillis(100))
    }
}

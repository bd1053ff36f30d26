package comfreypath.router.view

import com.github.michaelbull.result.Ok
import comfreypath.coordination.facts.StoreVersion
import comfreypath.coordination.routing.CallerLimits
import comfreypath.coordination.routing.Configuration
import comfreypath.router.TestContext
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.StoredObject
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Instant
import java.time.InstantSource

/** Guards against a store that comes back with an older configuration and confirms the one in force. */
class LostConfigurationTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private var time = start
    private val context = TestContext.create(clock = InstantSource { time })
    private val view = ConfigurationView(context)
    private val sink = ConfigurationSink(context, view)

    private fun version(era: Long, revision: Long) = checkNotNull(StoreVersion.of(era, revision)).number

    private fun stored(configuration: Long, era: Long, revision: Long) = StoredObject(
        name = ObjectKinds.CONFIGURATION_NAME,
        revision = version(era, revision),
        value = Ok(Configuration(configuration, persistentListOf(), persistentMapOf(), CallerLimits(), teams = null)),
        document = "version $configuration",
    )

    private fun list(configuration: Long, era: Long, revision: Long) =
        sink.replace(listOf(stored(configuration, era, revision)), version(era, revision), time)

    private fun emptyWatch(era: Long, revision: Long) = sink.apply(emptyList(), version(era, revision), time)

    private fun expectInForce(configuration: Long, confirmedAt: Instant) {
        expectThat(view.current?.value?.version).isEqualTo(configuration)
        expectThat(view.current?.confirmedAt).isEqualTo(confirmedAt)
    }

    @Test
    fun `a store with an older configuration confirms nothing until the operator has written again`() {
        list(configuration = 5, era = 1, revision = 50)
        time = start.plusSeconds(5)
        list(configuration = 4, era = 2, revision = 40)
        time = start.plusSeconds(10)
        emptyWatch(era = 2, revision = 41)
        expectInForce(5, confirmedAt = start)
        list(configuration = 5, era = 2, revision = 42)
        expectInForce(5, confirmedAt = time)
        emptyWatch(era = 2, revision = 43)
        expectInForce(5, confirmedAt = time)
    }

    @Test
    fun `a store without a configuration confirms nothing`() {
        list(configuration = 5, era = 1, revision = 50)
        sink.replace(emptyList(), version(era = 2, revision = 3), time)
        time = start.plusSeconds(10)
        emptyWatch(era = 2, revision = 4)
        expectInForce(5, confirmedAt = start)
    }

    @Test
    fun `confirmations of a new era count once the operator has had time to write a lost configuration again`() {
        list(configuration = 5, era = 1, revision = 50)
        time = start.plusMillis(500)
        list(configuration = 5, era = 2, revision = 50)
        view.confirm(time)
        expectInForce(5, confirmedAt = start)
        list(configuration = 6, era = 2, revision = 51)
        expectInForce(6, confirmedAt = start)
        time = start.plusMillis(1_500)
        emptyWatch(era = 2, revision = 51)
        expectInForce(6, confirmedAt = time)
    }

    @Test
    fun `an answer of an earlier era confirms nothing`() {
        list(configuration = 5, era = 2, revision = 50)
        time = start.plusSeconds(5)
        emptyWatch(era = 1, revision = 90)
        list(configuration = 5, era = 1, revision = 91)
        expectInForce(5, confirmedAt = start)
    }
}

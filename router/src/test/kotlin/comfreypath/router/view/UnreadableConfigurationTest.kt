package comfreypath.router.view

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import comfreypath.coordination.routing.CallerLimits
import comfreypath.coordination.routing.Configuration
import comfreypath.router.TestContext
import comfreypath.router.store.ObjectChange
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.StoredObject
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Instant

/** Guards against an unreadable configuration that replaces the one in force, or that confirms it. */
class UnreadableConfigurationTest {
    private val context = TestContext.create()
    private val view = ConfigurationView(context)
    private val sink = ConfigurationSink(context, view)
    private val start: Instant = context.now()

    private fun stored(version: Long) = StoredObject(
        name = ObjectKinds.CONFIGURATION_NAME,
        revision = version,
        value = Ok(Configuration(version, persistentListOf(), persistentMapOf(), CallerLimits(), teams = null)),
        document = "version $version",
    )

    private fun unreadable(revision: Long) = StoredObject<Configuration>(
        name = ObjectKinds.CONFIGURATION_NAME,
        revision = revision,
        value = Err("timeout_ms must be a number"),
        document = "",
    )

    @Test
    fun `the configuration in force stays, is not confirmed, and is replaced by the next readable one`() {
        sink.replace(listOf(stored(1)), 1, start)
        val later = start.plusSeconds(1)
        sink.replace(listOf(unreadable(2)), 2, later)
        sink.apply(listOf(ObjectChange(unreadable(3), removed = false)), 3, later)
        sink.update(unreadable(3), later)
        expectThat(view.current?.value?.version).isEqualTo(1)
        expectThat(view.current?.confirmedAt).isEqualTo(start)
        expectThat(view.snapshot()?.documents?.single()).isEqualTo("version 1")
        sink.apply(listOf(ObjectChange(stored(4), removed = false)), 4, later)
        expectThat(view.current?.value?.version).isEqualTo(4)
    }
}

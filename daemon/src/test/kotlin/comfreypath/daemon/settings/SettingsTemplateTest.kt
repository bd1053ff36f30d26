package comfreypath.daemon.settings

import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import comfreypath.daemon.PlatformFixture
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.router.RouterOptions
import comfreypath.router.RouterTimeouts
import comfreypath.router.ServiceBounds
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration

/** Guards against a router that does not start because its deployment leaves out a field of the settings. */
class SettingsTemplateTest {
    private val complete = mapOf(
        "node_name" to "front-1",
        "zone" to "zone-1",
        "ip" to "127.0.0.1",
        "listen.front" to "127.0.0.1:8227",
        "listen.ready_address" to "127.0.0.1:8220",
        "listen.control" to "127.0.0.1:8229",
        "seed_nodes" to "127.0.0.1:8230,127.0.0.1:8231",
        "platform.address" to "127.0.0.1:8223",
    )
    private val bounds = mapOf(
        "bounds.grace_s" to "9",
        "bounds.revoke_ms" to "4000",
        "bounds.retry_budget_ratio" to "0.3",
        "bounds.budget_slack" to "158",
        "bounds.budget_window_s" to "12",
        "bounds.config_apply_ms" to "3000",
        "bounds.canary_share" to "0.2",
        "bounds.canary_slack" to "70",
    )

    private class Outcome(val options: RouterOptions? = null, val error: String? = null)

    private fun render(fields: Map<String, String>): String {
        val template = Files.readString(Path.of("..", "deploy", "router.properties"))
        return Regex("\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}").replace(template) { section ->
            section.groupValues[2].takeIf { section.groupValues[1] in fields }.orEmpty()
        }.replace(Regex("\\{\\{([\\w.]+)}}")) { fields[it.groupValues[1]].orEmpty() }
    }

    private fun read(folder: Path, fields: Map<String, String>): Outcome {
        val file = Files.writeString(folder.resolve("router.properties"), render(fields))
        return RawSettings.read(RouterSettings.all, emptyList(), mapOf(RawSettings.FILE_VARIABLE to "$file"))
            .andThen { RouterSettings.options(it) }
            .fold(success = { Outcome(options = it) }, failure = { Outcome(error = it) })
    }

    @Test
    fun `all bounds of the platform are used`(@TempDir folder: Path) {
        val options = read(folder, complete + bounds).options
        expectThat(options).isNotNull().and {
            get { timeouts.grace }.isEqualTo(Duration.ofSeconds(9))
            get { this.bounds.revocation }.isEqualTo(Duration.ofSeconds(4))
            get { this.bounds.retries.share }.isEqualTo(0.3)
            get { this.bounds.retries.slack }.isEqualTo(158.0)
            get { this.bounds.retries.window }.isEqualTo(Duration.ofSeconds(12))
            get { this.bounds.configuration }.isEqualTo(Duration.ofSeconds(3))
            get { this.bounds.rollouts.share }.isEqualTo(0.2)
            get { this.bounds.rollouts.slack }.isEqualTo(70.0)
            get { defaultedBounds }.isEmpty()
        }
    }

    @Test
    fun `the default of each bound applies where a deployment leaves it out`(@TempDir folder: Path) {
        val all = read(folder, complete + bounds).options
        val none = read(folder, complete).options
        bounds.keys.forEach { left ->
            val options = read(folder, complete + bounds - left).options
            expectThat(options).describedAs("without $left").isNotNull()
            val defaulted = options?.defaultedBounds.orEmpty()
            expectThat(defaulted.size).describedAs("defaults without $left").isEqualTo(1)
            expectThat(none?.defaultedBounds.orEmpty().entries).contains(defaulted.entries)
            val others = { some: RouterOptions? ->
                some?.copy(bounds = ServiceBounds(), timeouts = RouterTimeouts(), defaultedBounds = emptyMap())
            }
            expectThat(others(options)).isEqualTo(others(all))
        }
    }

    @Test
    fun `a router whose deployment names no bounds serves with the defaults and says so`(@TempDir folder: Path) {
        val read = read(folder, complete).options
        expectThat(read).isNotNull().and {
            get { this.bounds }.isEqualTo(ServiceBounds())
            get { defaultedBounds.keys }.containsExactlyInAnyOrder(
                "grace",
                "revocation-bound",
                "retry-share",
                "retry-slack",
                "retry-window",
                "configuration-bound",
                "rollout-share",
                "rollout-slack",
            )
        }
        val fixture = PlatformFixture(
            customizeRouter = { it.copy(bounds = read!!.bounds, defaultedBounds = read.defaultedBounds) },
        )
        fixture.run { expectThat(call(PlatformRequest("history", "r1"))?.status).isEqualTo(200) }
    }

    @Test
    fun `a router without seeds starts`(@TempDir folder: Path) {
        expectThat(read(folder, complete + bounds - "seed_nodes").options).isNotNull().get { peers }.isEmpty()
    }

    @Test
    fun `the error for a wrong bound names it`(@TempDir folder: Path) {
        bounds.keys.forEach { wrong ->
            val error = read(folder, complete + bounds + (wrong to "-7")).error
            expectThat(error).describedAs("with a wrong $wrong").isNotNull().contains("-7")
        }
    }

    @Test
    fun `the error for a required field that is left out names its setting`(@TempDir folder: Path) {
        val error = read(folder, complete + bounds - "platform.address").error
        expectThat(error).isNotNull().contains("--object-store").contains("is not set")
    }
}

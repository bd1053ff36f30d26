package comfreypath.daemon.settings

import comfreypath.daemon.EXIT_USAGE
import comfreypath.daemon.command.RouterCommand
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import java.nio.file.Files
import java.nio.file.Path
import java.util.Properties

/** Guards against a changed setting name or value, with which a deployed router would no longer start. */
class RouterSettingNamesTest {
    private val names = RouterSettings.all.map { it.name }
    private val deployed = Properties().also { properties ->
        Files.newBufferedReader(Path.of("..", "deploy", "router.properties")).use { properties.load(it) }
    }

    private fun check(callerInterface: String): Int {
        val addresses = listOf("listen", "readiness-listen", "peer-listen", "metrics-listen", "object-store")
        val flags = addresses.flatMap { listOf("--$it", "127.0.0.1:8080") } +
            listOf("--name", "router-1", "--data-centre", "dc-1", "--interface", callerInterface)
        return RouterCommand().run(listOf("--check") + flags, emptyMap())
    }

    @Test
    fun `the settings have these names`() {
        expectThat(names).containsExactly(
            "name",
            "data-centre",
            "interface",
            "listen",
            "readiness-listen",
            "peer-listen",
            "metrics-listen",
            "object-store",
            "peers",
            "trace-collector",
            "grace",
            "configuration-bound",
            "revocation-bound",
            "retry-share",
            "retry-slack",
            "retry-window",
            "rollout-share",
            "rollout-slack",
        )
    }

    @Test
    fun `the settings file of the deployment uses only names of settings`() {
        expectThat(deployed.stringPropertyNames()).isNotEmpty()
        expectThat(names).contains(deployed.stringPropertyNames())
    }

    @Test
    fun `the setting interface has these values`() {
        expectThat(check("openai")).isEqualTo(0)
        expectThat(check("platform")).isEqualTo(0)
        expectThat(check("other")).isEqualTo(EXIT_USAGE)
        expectThat(check(deployed.getProperty("interface"))).isEqualTo(0)
    }
}

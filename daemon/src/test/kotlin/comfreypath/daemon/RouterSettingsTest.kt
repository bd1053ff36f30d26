package comfreypath.daemon

import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import comfreypath.daemon.settings.RawSettings
import comfreypath.daemon.settings.RouterSettings
import comfreypath.router.RouterOptions
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration

class RouterSettingsTest {
    private val required = listOf(
        "--name",
        "router-1",
        "--data-centre",
        "dc-1",
        "--listen",
        "127.0.0.1:8080",
        "--readiness-listen",
        "127.0.0.1:8081",
        "--peer-listen",
        "127.0.0.1:8082",
        "--metrics-listen",
        "127.0.0.1:8083",
        "--object-store",
        "127.0.0.1:9090",
    )

    private class Outcome(val options: RouterOptions? = null, val error: String? = null)

    private fun read(flags: List<String>, environment: Map<String, String> = emptyMap()): Outcome =
        RawSettings.read(RouterSettings.all, flags, environment)
            .andThen { RouterSettings.options(it) }
            .fold(success = { Outcome(options = it) }, failure = { Outcome(error = it) })

    @Test
    fun `flags take precedence over environment variables`() {
        val environment = mapOf("COMFREYPATH_REVOCATION_BOUND" to "7s", "COMFREYPATH_GRACE" to "8s")
        val options = read(required + listOf("--revocation-bound", "5s"), environment).options
        expectThat(options).isNotNull().get { bounds.revocation }.isEqualTo(Duration.ofSeconds(5))
        expectThat(options).isNotNull().get { timeouts.grace }.isEqualTo(Duration.ofSeconds(8))
    }

    @Test
    fun `environment variables take precedence over the settings file`(@TempDir folder: Path) {
        val file = folder.resolve("router.properties")
        Files.writeString(file, "revocation-bound=3s\ngrace=4s\n")
        val environment = mapOf("COMFREYPATH_SETTINGS" to file.toString(), "COMFREYPATH_GRACE" to "9s")
        val options = read(required, environment).options
        expectThat(options).isNotNull().get { bounds.revocation }.isEqualTo(Duration.ofSeconds(3))
        expectThat(options).isNotNull().get { timeouts.grace }.isEqualTo(Duration.ofSeconds(9))
    }

    @Test
    fun `the error for an invalid value names the setting, the value and the valid values`() {
        val error = read(required + listOf("--grace", "0.5")).error
        expectThat(error).isNotNull()
            .contains("--grace").contains("\"0.5\"").contains("a time such as 1.5s or 200ms")
    }

    @Test
    fun `the error for an unreadable settings file names the file`() {
        val error = read(required, mapOf("COMFREYPATH_SETTINGS" to "/nowhere/router.properties")).error
        expectThat(error).isNotNull().contains("/nowhere/router.properties").contains("can't be read")
    }

    @Test
    fun `the error for a missing setting names it`() {
        expectThat(read(required.drop(2)).error).isNotNull().contains("--name").contains("is not set")
    }

    @Test
    fun `an unknown flag is an error`() {
        expectThat(read(required + listOf("--nonsense", "1")).error).isNotNull().contains("nonsense")
    }
}

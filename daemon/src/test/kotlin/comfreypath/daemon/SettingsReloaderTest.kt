package comfreypath.daemon

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.daemon.settings.RawSettings
import comfreypath.daemon.settings.ReloadHandler
import comfreypath.daemon.settings.RouterSettings
import comfreypath.daemon.settings.SettingsReloader
import comfreypath.router.RouterOptions
import comfreypath.standins.StoreFaults
import comfreypath.transport.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import sun.misc.Signal
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue

class SettingsReloaderTest {
    private val requiredSettings = """
        name=router-1
        data-centre=dc-1
        listen=127.0.0.1:8080
        readiness-listen=127.0.0.1:8081
        peer-listen=127.0.0.1:8082
        metrics-listen=127.0.0.1:8083
        object-store=127.0.0.1:9090
    """.trimIndent()

    private class RecordedReloads {
        val applied = ConcurrentLinkedQueue<Pair<RouterOptions, String>>()
        val rejected = ConcurrentLinkedQueue<String>()
        val handler = ReloadHandler(
            apply = { options, cause -> applied += options to cause },
            reject = { reason, _ -> rejected += reason },
        )
    }

    private fun read(file: Path): Result<RouterOptions, String> =
        RawSettings.read(RouterSettings.all, emptyList(), mapOf(RawSettings.FILE_VARIABLE to file.toString()))
            .andThen { RouterSettings.options(it) }

    private fun await(what: String, condition: () -> Boolean) = runBlocking {
        var polls = 0
        while (!condition()) {
            polls += 1
            check(polls < 250) { "timed out waiting for $what" }
            delay(20)
        }
    }

    @Test
    fun `SIGHUP reloads the settings and does not end the process`(@TempDir folder: Path) {
        val file = Files.writeString(folder.resolve("router.properties"), "$requiredSettings\nrevocation-bound=5s\n")
        val reloads = RecordedReloads()
        SettingsReloader(file.toFile(), { read(file) }, reloads.handler).installSignalHandler { it.run() }
        Files.writeString(file, "$requiredSettings\nrevocation-bound=3s\n")
        Signal.raise(Signal("HUP"))
        await("a reload") { reloads.applied.isNotEmpty() }
        val (options, cause) = reloads.applied.first()
        expectThat(options.bounds.revocation).isEqualTo(Duration.ofSeconds(3))
        expectThat(cause).isEqualTo("SIGHUP")
    }

    @Test
    fun `a changed file is reloaded without a signal, and an invalid one is rejected`(@TempDir folder: Path) {
        val file = Files.writeString(folder.resolve("router.properties"), requiredSettings)
        val reloads = RecordedReloads()
        val reloader = SettingsReloader(file.toFile(), { read(file) }, reloads.handler, Duration.ofMillis(10))
        val scope = CoroutineScope(Dispatchers.Default)
        scope.launch { reloader.watchFile() }
        Files.writeString(file, "$requiredSettings\ngrace=soon\n")
        await("a rejection") { reloads.rejected.isNotEmpty() }
        expectThat(reloads.rejected.first()).contains("--grace").contains("soon")
        Files.writeString(file, "$requiredSettings\ngrace=4s\n")
        await("a reload") { reloads.applied.any { (options, _) -> options.timeouts.grace == Duration.ofSeconds(4) } }
        scope.cancel()
    }

    /** The watch ended with the first reload that failed unexpectedly, and later changes were not noticed. */
    @Test
    fun `a reload that fails unexpectedly does not end the watch of the file`(@TempDir folder: Path) {
        val file = Files.writeString(folder.resolve("router.properties"), requiredSettings)
        val reloads = RecordedReloads()
        var reads = 0
        val readOnceInVain = {
            reads += 1
            check(reads > 1) { "the settings can't be read" }
            read(file)
        }
        val reloader = SettingsReloader(file.toFile(), readOnceInVain, reloads.handler, Duration.ofMillis(10))
        val scope = CoroutineScope(Dispatchers.Default)
        scope.launch { reloader.watchFile() }
        Files.writeString(file, "$requiredSettings\ngrace=3s\n")
        await("a rejection") { reloads.rejected.isNotEmpty() }
        expectThat(reloads.rejected.first()).contains("the settings can't be read")
        Files.writeString(file, "$requiredSettings\ngrace=4s\n")
        await("a reload") { reloads.applied.any { (options, _) -> options.timeouts.grace == Duration.ofSeconds(4) } }
        scope.cancel()
    }

    @Test
    fun `a router applies reloaded bounds and keeps serving when another setting needs a restart`() =
        PlatformFixture().run {
            val running = fleet.routers.single()
            val reloaded = running.options.copy(
                bounds = running.options.bounds.copy(revocation = Duration.ofMillis(1_500)),
                callerAddress = running.options.callerAddress.copy(port = 1),
            )
            withContext(running.loop.dispatcher()) { running.router.reload(reloaded, "test") }
            expectThat(call(PlatformRequest("history", "r1"))?.status).isEqualTo(200)
            setStoreFaults(StoreFaults(outage = true))
            delay(1_600)
            expectThat(call(PlatformRequest("history", "r2"))?.status).isNotNull().isEqualTo(503)
        }
}

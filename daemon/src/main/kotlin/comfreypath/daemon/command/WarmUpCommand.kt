package comfreypath.daemon.command

import com.github.michaelbull.result.fold
import comfreypath.daemon.demo.PlatformCaller
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformLayout
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.daemon.demo.freeAddress
import comfreypath.daemon.settings.RawSettings
import comfreypath.daemon.settings.RouterSettings
import comfreypath.standins.PlatformServerFaults
import comfreypath.transport.dispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import java.io.File
import java.util.jar.JarFile
import kotlin.concurrent.thread

private const val ROUNDS = 20
private const val ABORT_AFTER_EVENTS = 3
private const val START_TIMEOUT_MILLISECONDS = 10_000L
private const val START_POLL_MILLISECONDS = 100L

/** The libraries of which a router may load any class. */
private val archivedLibraries = listOf(
    "coordination-",
    "kotlin-result-",
    "kotlinx-",
    "platform-",
    "router-",
    "transport-",
)
private const val CLASS_SUFFIX = ".class"

/**
 * Sends requests of every kind through a small fleet in this process, and loads the classes of what rarely happens.
 *
 * The build runs it once to record the classes that a router loads. With a class data sharing archive of these
 * classes, a router starts several times faster.
 */
class WarmUpCommand {
    /** Returns the exit status, which is always 0. */
    fun run(): Int = runBlocking {
        RawSettings.read(RouterSettings.all, emptyList(), emptyMap()).fold(
            success = { RouterSettings.options(it) },
            failure = { error(it) },
        )
        val fleet = PlatformFleet(routerCount = 2)
        fleet.start()
        val caller = PlatformCaller(fleet.callerLoop)
        repeat(ROUNDS) { round ->
            val abortStreams = round == ROUNDS - 2
            fleet.engines.forEach { engine ->
                val faults = PlatformServerFaults(abortAfterEvents = ABORT_AFTER_EVENTS.takeIf { abortStreams })
                withContext(engine.loop.dispatcher()) { engine.server.setFaults(faults) }
            }
            fleet.routers.forEach { router -> sendAllKinds(caller, router, round) }
        }
        fleet.stopRouter(fleet.routers.last())
        runRouterCommand(fleet, caller)
        fleet.stop()
        loadArchivedLibraries()
        0
    }

    /**
     * Loads the classes for what does not happen in the small fleet, such as snapshots of peers and relays of loads.
     * Classes that lack what an optional dependency would bring are left out.
     */
    private fun loadArchivedLibraries() {
        val folder = File(WarmUpCommand::class.java.protectionDomain.codeSource.location.path).resolveSibling("library")
        folder.listFiles().orEmpty()
            .filter { file -> archivedLibraries.any { file.name.startsWith(it) } }
            .flatMap { file -> JarFile(file).use { jar -> jar.entries().toList().map { it.name } } }
            .filter { it.endsWith(CLASS_SUFFIX) && '-' !in it }
            .forEach { entry ->
                runCatching {
                    Class.forName(entry.removeSuffix(CLASS_SUFFIX).replace('/', '.'), false, javaClass.classLoader)
                }
            }
    }

    /** Starts a router as the command line does, so that the archive has the classes of its start too. */
    private suspend fun runRouterCommand(fleet: PlatformFleet, caller: PlatformCaller) {
        val address = freeAddress()
        val settings = File.createTempFile("comfreypath", ".properties")
        settings.deleteOnExit()
        settings.writeText(
            """
            name=warm-up
            interface=platform
            data-centre=${PlatformLayout.dataCentre(0).text}
            listen=$address
            readiness-listen=${freeAddress()}
            peer-listen=${freeAddress()}
            metrics-listen=${freeAddress()}
            peers=${fleet.routers.first().options.peerAddress}
            object-store=${fleet.storeAddress}
            """.trimIndent(),
        )
        val environment = mapOf(RawSettings.FILE_VARIABLE to settings.path)
        thread(isDaemon = true) { RouterCommand().run(emptyList(), environment) }
        withTimeout(START_TIMEOUT_MILLISECONDS) {
            while (runCatching { caller.call(address, PlatformRequest("open", "started", key = null)) }.isFailure) {
                delay(START_POLL_MILLISECONDS)
            }
        }
    }

    private suspend fun sendAllKinds(caller: PlatformCaller, router: PlatformFleet.RunningRouter, round: Int) {
        val address = router.options.callerAddress
        val id = "${router.options.name}-$round"
        val requests = listOf(
            PlatformRequest("draft", "$id-draft", tokens = "1612,40"),
            PlatformRequest("follow", "$id-follow", tokens = "1612,80"),
            PlatformRequest("book", "$id-book", body = "booking".encodeToByteArray()),
            PlatformRequest("history", "$id-history"),
            PlatformRequest("open", "$id-open", key = null),
            PlatformRequest("history", "$id-unknown-key", key = "nobody's"),
            PlatformRequest("nowhere", "$id-unknown-route"),
        )
        requests.forEach { caller.call(address, it) }
        caller.call(router.options.metricsAddress, PlatformRequest("metrics", "$id-metrics"))
        caller.call(router.options.readinessAddress, PlatformRequest("ready", "$id-ready"))
    }
}

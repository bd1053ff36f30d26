package comfreypath.daemon.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import comfreypath.daemon.ClassArchive
import comfreypath.daemon.EXIT_USAGE
import comfreypath.daemon.settings.CallerInterface
import comfreypath.daemon.settings.RawSettings
import comfreypath.daemon.settings.ReloadHandler
import comfreypath.daemon.settings.RouterSettings
import comfreypath.daemon.settings.SettingsReloader
import comfreypath.openai.OpenAiCallerDialect
import comfreypath.openai.OpenAiEndpointDialect
import comfreypath.platform.PlatformCallerDialect
import comfreypath.platform.PlatformEndpointDialect
import comfreypath.platform.PlatformStore
import comfreypath.router.Router
import comfreypath.router.RouterOptions
import comfreypath.router.WireFormats
import comfreypath.transport.dispatcher
import comfreypath.transport.eventLoops
import io.netty.channel.EventLoop
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import java.io.File
import java.io.IOException
import java.time.Duration
import java.time.Instant
import java.util.concurrent.CountDownLatch

private const val EXIT_FATAL = 3

/** Runs one router on the event loop that [createLoop] returns until SIGTERM, then stops it gracefully. */
class RouterCommand(private val createLoop: () -> EventLoop = { eventLoops("router", 1).next() }) {
    /** Returns the exit status: 0 after a graceful stop, 1 if the start fails, [EXIT_USAGE] if a setting is invalid. */
    fun run(arguments: List<String>, environment: Map<String, String>): Int {
        if ("--help" in arguments) {
            println("usage: comfreypath router [--check] SETTINGS\n")
            println("  --check  checks the settings, prints the effective values, and exits\n")
            println(RawSettings.help(RouterSettings.all))
            return 0
        }
        return RawSettings.read(RouterSettings.all, arguments - "--check", environment)
            .andThen { raw -> RouterSettings.options(raw).map { raw to it } }
            .fold(
                success = { (raw, options) ->
                    if ("--check" in arguments) {
                        printEffective(raw)
                    } else {
                        val file = environment[RawSettings.FILE_VARIABLE]?.let { File(it) }
                        serve(options, RouterSettings.callerInterface(raw), file) {
                            RawSettings.read(RouterSettings.all, arguments, environment)
                                .andThen { RouterSettings.options(it) }
                        }
                    }
                },
                failure = {
                    System.err.println("comfreypath router: $it")
                    EXIT_USAGE
                },
            )
    }

    /** Ends the process, so that it is started again: nothing is answered without the event loop. */
    private fun exitAfterFatalError() {
        System.err.println("comfreypath router: the event loop has ended by a fatal error")
        Runtime.getRuntime().halt(EXIT_FATAL)
    }

    private fun printEffective(raw: RawSettings): Int {
        RouterSettings.all.forEach { println("${it.name}=${raw.rawValue(it)}") }
        return 0
    }

    private fun formats(options: RouterOptions, callerInterface: CallerInterface) = when (callerInterface) {
        CallerInterface.OPENAI ->
            WireFormats(OpenAiCallerDialect(options.name, Instant.now()), OpenAiEndpointDialect())
        CallerInterface.PLATFORM -> WireFormats(PlatformCallerDialect(), PlatformEndpointDialect())
    }

    private fun serve(
        options: RouterOptions,
        callerInterface: CallerInterface,
        file: File?,
        readOptions: () -> Result<RouterOptions, String>,
    ): Int {
        val loop = createLoop()
        val router = Router(options, loop, formats(options, callerInterface), ::PlatformStore)
        val reloader = SettingsReloader(file, readOptions, ReloadHandler(router::reload, router::rejectReload))
        val stopLatch = CountDownLatch(1)
        reloader.installSignalHandler(loop)
        val starting = CoroutineScope(loop.dispatcher()).async(start = CoroutineStart.LAZY) { router.start() }
        // Callers are accepted before the start has ended, so that a stop must not cut it short.
        val shutdownHook = Thread {
            val requestedAt = System.nanoTime()
            runBlocking {
                starting.join()
                val elapsed = Duration.ofNanos(System.nanoTime() - requestedAt)
                if (!starting.isCancelled) withContext(loop.dispatcher()) { router.stop(elapsed) }
            }
            stopLatch.countDown()
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        loop.terminationFuture().addListener { exitAfterFatalError() }
        return try {
            runBlocking { starting.await() }
            ClassArchive.unused()?.let(router::reportUnusedArchive)
            CoroutineScope(loop.dispatcher()).launch { reloader.watchFile() }
            stopLatch.await()
            0
        } catch (exception: IOException) {
            System.err.println("comfreypath router: ${exception.message}")
            1
        }
    }
}

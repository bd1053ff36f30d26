package comfreypath.daemon.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
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
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import java.io.File
import java.io.IOException
import java.time.Instant
import java.util.concurrent.CountDownLatch

/** Runs one router until SIGTERM, and then stops it gracefully. */
class RouterCommand {
    /** Runs with the given arguments, and returns the exit status. */
    fun run(arguments: List<String>, environment: Map<String, String>): Int {
        if ("--help" in arguments) {
            println("usage: comfreypath router [--check] SETTINGS\n")
            println("  --check  checks the settings, prints those in force, and exits\n")
            println(RawSettings.help(RouterSettings.all))
            return 0
        }
        return RawSettings.read(RouterSettings.all, arguments - "--check", environment)
            .andThen { given -> RouterSettings.options(given).map { given to it } }
            .fold(
                success = { (given, options) ->
                    if ("--check" in arguments) {
                        print(given)
                    } else {
                        serve(options, RouterSettings.callerInterface(given)) {
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

    private fun print(given: RawSettings): Int {
        RouterSettings.all.forEach { println("${it.name}=${given.rawValue(it)}") }
        return 0
    }

    private fun formats(options: RouterOptions, spoken: CallerInterface) = when (spoken) {
        CallerInterface.OPENAI ->
            WireFormats(OpenAiCallerDialect(options.name, Instant.now()), OpenAiEndpointDialect())
        CallerInterface.PLATFORM -> WireFormats(PlatformCallerDialect(), PlatformEndpointDialect())
    }

    private fun serve(
        options: RouterOptions,
        spoken: CallerInterface,
        readAgain: () -> Result<RouterOptions, String>,
    ): Int {
        val loop = eventLoops("router", 1).next()
        val router = Router(options, loop, formats(options, spoken), ::PlatformStore)
        val file = System.getenv(RawSettings.FILE_VARIABLE)?.let { File(it) }
        val reloader = SettingsReloader(file, readAgain, ReloadHandler(router::reload, router::rejectReload))
        val stopped = CountDownLatch(1)
        val hook = Thread {
            runBlocking { withContext(loop.dispatcher()) { router.stop() } }
            stopped.countDown()
        }
        return try {
            reloader.installSignalHandler(loop)
            runBlocking { withContext(loop.dispatcher()) { router.start() } }
            CoroutineScope(loop.dispatcher()).launch { reloader.watchFile() }
            Runtime.getRuntime().addShutdownHook(hook)
            stopped.await()
            0
        } catch (taken: IOException) {
            System.err.println("comfreypath router: ${taken.message}")
            1
        }
    }
}

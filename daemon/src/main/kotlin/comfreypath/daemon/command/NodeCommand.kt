package comfreypath.daemon.command

import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import comfreypath.daemon.EXIT_USAGE
import comfreypath.daemon.settings.GivenSettings
import comfreypath.daemon.settings.NodeSettings
import comfreypath.platform.PlatformCallerDialect
import comfreypath.platform.PlatformEndpointDialect
import comfreypath.platform.PlatformStore
import comfreypath.router.node.NodeOptions
import comfreypath.router.node.RouterNode
import comfreypath.router.node.WireFormats
import comfreypath.transport.dispatcher
import comfreypath.transport.eventLoops
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import java.io.IOException
import java.util.concurrent.CountDownLatch

/** Runs one router on the platform until SIGTERM, and then stops it gracefully. */
class NodeCommand {
    /** Runs with the given arguments, and returns the exit status. */
    fun run(arguments: List<String>, environment: Map<String, String>): Int {
        if ("--help" in arguments) {
            println("usage: comfreypath node [--check] SETTINGS\n")
            println("  --check  checks the settings, prints those in force, and exits\n")
            println(GivenSettings.help(NodeSettings.all))
            return 0
        }
        return GivenSettings.read(NodeSettings.all, arguments - "--check", environment)
            .andThen { given -> NodeSettings.options(given).map { given to it } }
            .fold(
                success = { (given, options) -> if ("--check" in arguments) print(given) else serve(options) },
                failure = {
                    System.err.println("comfreypath node: $it")
                    EXIT_USAGE
                },
            )
    }

    private fun print(given: GivenSettings): Int {
        NodeSettings.all.forEach { println("${it.name}=${given.textOf(it)}") }
        return 0
    }

    private fun serve(options: NodeOptions): Int {
        val loop = eventLoops("router", 1).next()
        val formats = WireFormats(PlatformCallerDialect(), PlatformEndpointDialect())
        val node = RouterNode(options, loop, formats, ::PlatformStore)
        val stopped = CountDownLatch(1)
        val hook = Thread {
            runBlocking { withContext(loop.dispatcher()) { node.stop() } }
            stopped.countDown()
        }
        return try {
            runBlocking { withContext(loop.dispatcher()) { node.start() } }
            Runtime.getRuntime().addShutdownHook(hook)
            stopped.await()
            0
        } catch (taken: IOException) {
            System.err.println("comfreypath node: ${taken.message}")
            1
        }
    }
}

package comfreypath.daemon

import comfreypath.daemon.command.DemoCommand
import comfreypath.daemon.command.MeasureCommand
import comfreypath.daemon.command.RouterCommand
import comfreypath.daemon.command.StandInCommand
import comfreypath.daemon.command.WarmUpCommand
import io.netty.util.internal.logging.InternalLoggerFactory
import io.netty.util.internal.logging.JdkLoggerFactory
import kotlin.system.exitProcess

/** Exit status for invalid arguments. */
const val EXIT_USAGE = 2

private val usage = """
    usage: comfreypath COMMAND [...]

      demo       runs a fleet in one process under load and failures, and checks every response
      router     runs one router
      measure    measures the cost of routers, or their decisions in randomised runs
      stand-in   runs a stand-in for an external system: object-store, engine or service
      warm-up    loads the classes of a router, for the class archive that the build creates

    Run comfreypath COMMAND --help for details.
""".trimIndent()

/** Runs the command that the first argument names, and exits with its status. */
fun main(arguments: Array<String>) {
    // Netty would otherwise search the class path for logging libraries that are not there.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE)
    val rest = arguments.drop(1)
    val status = when (arguments.firstOrNull()) {
        "demo" -> DemoCommand().run(rest)
        "router" -> RouterCommand().run(rest, System.getenv())
        "measure" -> MeasureCommand().run(rest)
        "stand-in" -> StandInCommand().run(rest)
        "warm-up" -> WarmUpCommand().run()
        "--help", "help" -> {
            println(usage)
            0
        }
        else -> {
            System.err.println(usage)
            EXIT_USAGE
        }
    }
    exitProcess(status)
}

package comfreypath.daemon

import comfreypath.daemon.command.DemoCommand
import comfreypath.daemon.command.MeasureCommand
import comfreypath.daemon.command.RouterCommand
import comfreypath.daemon.command.StandInCommand
import comfreypath.daemon.command.WarmUpCommand
import kotlin.system.exitProcess

/** The exit status of a command that was called wrongly. */
const val EXIT_USAGE = 2

private val usage = """
    usage: comfreypath COMMAND [...]

      demo       runs a whole fleet in one process, with load and failures, and checks every answer
      router     runs one router
      measure    measures what routers cost, or how decisions fare in randomised runs
      stand-in   runs a stand-in: object-store, engine or service
      warm-up    loads what a router needs, for the archive of classes that the build makes

    comfreypath COMMAND --help tells more.
""".trimIndent()

/** Runs the command that the arguments name, and exits with its status. */
fun main(arguments: Array<String>) {
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

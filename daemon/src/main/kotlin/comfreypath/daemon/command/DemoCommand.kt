package comfreypath.daemon.command

import comfreypath.daemon.EXIT_USAGE
import comfreypath.daemon.demo.Demo
import comfreypath.daemon.demo.DemoReport
import comfreypath.transport.wireJson
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option

private const val DEFAULT_CHATS = 400
private const val NAME_WIDTH = 34

/** The arguments of [DemoCommand]. */
private class DemoArguments {
    @field:Option(name = "--seed", metaVar = "number", usage = "the seed of the callers' choices")
    var seed: Long = 1

    @field:Option(name = "--chats", metaVar = "chats", usage = "the number of chats, and of bookings")
    var chats: Int = DEFAULT_CHATS

    @field:Option(name = "--help", usage = "prints this")
    var help: Boolean = false
}

/** Runs the demo, and prints a table and then one line of JSON. */
class DemoCommand {
    /** Runs with the given arguments, and returns the exit status: 0 only when the run was clean. */
    fun run(arguments: List<String>): Int {
        val parsed = DemoArguments()
        val parser = CmdLineParser(parsed)
        return try {
            parser.parseArgument(arguments)
            if (parsed.help) help(parser) else show(parsed)
        } catch (wrong: CmdLineException) {
            System.err.println("comfreypath demo: ${wrong.message}")
            EXIT_USAGE
        }
    }

    private fun help(parser: CmdLineParser): Int {
        println("usage: comfreypath demo [--seed N] [--chats N]\n")
        parser.printUsage(System.out)
        return 0
    }

    private fun show(parsed: DemoArguments): Int {
        val report = runBlocking { Demo(parsed.seed, parsed.chats) { println(it) }.run() }
        printTable(report)
        println(wireJson.encodeToString(report))
        return if (report.clean) 0 else 1
    }

    private fun printTable(report: DemoReport) {
        println()
        row("requests sent", report.sent)
        row("answered whole", report.answered)
        row("refused, not run", report.refusedNotRun)
        row("refused, may have run", report.mayHaveRun)
        row("lost", report.lost)
        row("crossed", report.crossed)
        row("bookings run twice", report.duplicateRuns)
        row("cache reuse", "%.3f".format(report.cacheReuse))
        row("busiest engine over mean", "%.2f".format(report.maxToMeanLoad))
        row("control bytes/s, busiest router", "%.0f".format(report.controlBytesPerSecondPerRouter))
        row("invariants violated", report.violations)
        println()
    }

    private fun row(name: String, value: Any) = println(name.padEnd(NAME_WIDTH) + value)
}

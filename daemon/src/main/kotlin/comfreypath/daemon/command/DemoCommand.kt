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

private class DemoArguments {
    @field:Option(name = "--seed", metaVar = "number", usage = "the seed of the callers' random choices")
    var seed: Long = 1

    @field:Option(name = "--chats", metaVar = "chats", usage = "the number of chats, and of bookings")
    var chats: Int = DEFAULT_CHATS

    @field:Option(name = "--help", usage = "prints this help")
    var help: Boolean = false
}

/** Runs the demo, then prints its report as a table and as one line of JSON. */
class DemoCommand {
    /** Returns the exit status: 0 if the run was clean, 1 if not, [EXIT_USAGE] if the arguments are invalid. */
    fun run(arguments: List<String>): Int {
        val parsed = DemoArguments()
        val parser = CmdLineParser(parsed)
        return try {
            parser.parseArgument(arguments)
            if (parsed.help) printHelp(parser) else runDemo(parsed)
        } catch (exception: CmdLineException) {
            System.err.println("comfreypath demo: ${exception.message}")
            EXIT_USAGE
        }
    }

    private fun printHelp(parser: CmdLineParser): Int {
        println("usage: comfreypath demo [--seed N] [--chats N]\n")
        parser.printUsage(System.out)
        return 0
    }

    private fun runDemo(arguments: DemoArguments): Int {
        val report = runBlocking { Demo(arguments.seed, arguments.chats) { println(it) }.run() }
        printTable(report)
        println(wireJson.encodeToString(report))
        return if (report.clean) 0 else 1
    }

    private fun printTable(report: DemoReport) {
        println()
        printRow("requests sent", report.sent)
        printRow("answered whole", report.answered)
        printRow("refused, not run", report.refusedNotRun)
        printRow("refused, may have run", report.mayHaveRun)
        printRow("lost", report.lost)
        printRow("crossed", report.crossed)
        printRow("bookings run twice", report.duplicateRuns)
        printRow("cache reuse", "%.3f".format(report.cacheReuse))
        printRow("busiest engine over mean", "%.2f".format(report.maxToMeanLoad))
        printRow("control bytes/s, busiest router", "%.0f".format(report.controlBytesPerSecondPerRouter))
        printRow("invariants violated", report.violations)
        println()
    }

    private fun printRow(name: String, value: Any) = println(name.padEnd(NAME_WIDTH) + value)
}

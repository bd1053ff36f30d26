package comfreypath.daemon.command

import comfreypath.daemon.EXIT_USAGE
import comfreypath.daemon.measure.LatencySummary
import comfreypath.daemon.measure.Overhead
import comfreypath.daemon.measure.OverheadReport
import comfreypath.daemon.measure.PathCost
import comfreypath.measure.MeasureOptions
import comfreypath.measure.Measurement
import comfreypath.measure.measurements
import comfreypath.measure.slopes
import comfreypath.transport.wireJson
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option

private const val DEFAULT_REQUESTS_PER_SECOND = 500
private const val DEFAULT_SECONDS = 12

/** The arguments of [MeasureCommand]. */
private class MeasureArguments {
    @field:Argument(index = 0, metaVar = "NAME", usage = "what to measure", required = true)
    var name: String = ""

    @field:Option(name = "--seed", metaVar = "number", usage = "the seed of every random choice")
    var seed: Long = 1

    @field:Option(name = "--steps", metaVar = "steps", usage = "how many steps; 0 for the measurement's own number")
    var steps: Long = 0

    @field:Option(
        name = "--routers",
        metaVar = "routers",
        usage = "how many routers; 0 likewise"
    )
    var routers: Int = 0

    @field:Option(name = "--endpoints", metaVar = "endpoints", usage = "how many endpoints; 0 likewise")
    var endpoints: Int = 0

    @field:Option(name = "--rate", metaVar = "requests a second", usage = "overhead: the load")
    var rate: Int = DEFAULT_REQUESTS_PER_SECOND

    @field:Option(name = "--seconds", metaVar = "seconds", usage = "overhead: how long each way is loaded")
    var seconds: Int = DEFAULT_SECONDS

    @field:Option(name = "--help", usage = "prints this", help = true)
    var help: Boolean = false
}

/** Runs a measurement, and prints a table and then one line of JSON. */
class MeasureCommand {
    /** Runs with the given arguments, and returns the exit status: 0 only when the targets are met. */
    fun run(arguments: List<String>): Int {
        val parsed = MeasureArguments()
        val parser = CmdLineParser(parsed)
        return try {
            parser.parseArgument(arguments)
            if (parsed.help) help(parser) else measure(parsed)
        } catch (wrong: CmdLineException) {
            System.err.println("comfreypath measure: ${wrong.message}")
            EXIT_USAGE
        }
    }

    private fun help(parser: CmdLineParser): Int {
        val names = (measurements + slopes).joinToString(", ") { it.name }
        println("usage: comfreypath measure NAME [...]\n\n NAME is one of $names, overhead, all\n")
        parser.printUsage(System.out)
        return 0
    }

    private fun measure(arguments: MeasureArguments): Int = when (arguments.name) {
        "overhead" -> overhead(arguments)
        "slopes" -> seeded(slopes, arguments)
        "all" -> measurements.map { seeded(it, arguments) }.max()
        else -> {
            val measurement = measurements.firstOrNull { it.name == arguments.name }
            if (measurement == null) unknown(arguments) else seeded(measurement, arguments)
        }
    }

    private fun unknown(arguments: MeasureArguments): Int {
        System.err.println("comfreypath measure: there is no measurement named \"${arguments.name}\"")
        return EXIT_USAGE
    }

    private fun seeded(measurement: Measurement, arguments: MeasureArguments): Int {
        val options = MeasureOptions(
            seed = arguments.seed,
            steps = arguments.steps.takeIf { it > 0 } ?: measurement.steps,
            routers = arguments.routers.takeIf { it > 0 } ?: measurement.routers,
            endpoints = arguments.endpoints.takeIf { it > 0 } ?: measurement.endpoints,
        )
        val report = measurement.run(options)
        println("${report.name}, seed ${report.seed}, ${report.steps} steps")
        report.figures.forEach { println("  %-52s %14.4f %s".format(it.name, it.value, it.unit)) }
        report.targets.forEach {
            val state = if (it.met) "met" else "MISSED"
            println("  target: %-44s %14.4f against %.4f %s: %s".format(it.name, it.value, it.limit, it.unit, state))
        }
        println(wireJson.encodeToString(report))
        return if (report.met) 0 else 1
    }

    private fun overhead(arguments: MeasureArguments): Int {
        val report = runBlocking { Overhead(arguments.rate, arguments.seconds).run() }
        print(report)
        println(wireJson.encodeToString(report))
        return if (report.met) 0 else 1
    }

    private fun print(report: OverheadReport) {
        println("milliseconds at          50      95      99   requests/s  processor us/request")
        row("straight to the engine", report.direct)
        row("through a router", report.throughRouter)
        added("added", report.added)
        added("added to first piece", report.addedToFirstPiece)
        println()
    }

    private fun row(name: String, cost: PathCost) = println(
        "%-22s %6.2f  %6.2f  %6.2f   %10.0f  %20.0f".format(
            name,
            cost.whole.median,
            cost.whole.at95,
            cost.whole.at99,
            cost.requestsPerSecond,
            cost.processorMicroseconds,
        ),
    )

    private fun added(name: String, latency: LatencySummary) =
        println("%-22s %6.2f  %6.2f  %6.2f".format(name, latency.median, latency.at95, latency.at99))
}

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

private class MeasureArguments {
    @field:Argument(index = 0, metaVar = "NAME", usage = "the measurement to run", required = true)
    var name: String = ""

    @field:Option(name = "--seed", metaVar = "number", usage = "the seed of all random choices")
    var seed: Long = 1

    @field:Option(name = "--steps", metaVar = "steps", usage = "the number of steps; 0 for the measurement's default")
    var steps: Long = 0

    @field:Option(
        name = "--routers",
        metaVar = "routers",
        usage = "the number of routers; 0 for the measurement's default"
    )
    var routers: Int = 0

    @field:Option(
        name = "--endpoints",
        metaVar = "endpoints",
        usage = "the number of endpoints; 0 for the measurement's default"
    )
    var endpoints: Int = 0

    @field:Option(name = "--rate", metaVar = "requests per second", usage = "overhead: the load")
    var rate: Int = DEFAULT_REQUESTS_PER_SECOND

    @field:Option(name = "--seconds", metaVar = "seconds", usage = "overhead: the duration of the load on each path")
    var seconds: Int = DEFAULT_SECONDS

    @field:Option(name = "--help", usage = "prints this help", help = true)
    var help: Boolean = false
}

/** Runs a measurement, then prints its report as a table and as one line of JSON. */
class MeasureCommand {
    /** Returns the exit status: 0 if all targets are met, 1 if not, [EXIT_USAGE] if the arguments are invalid. */
    fun run(arguments: List<String>): Int {
        val parsed = MeasureArguments()
        val parser = CmdLineParser(parsed)
        return try {
            parser.parseArgument(arguments)
            if (parsed.help) printHelp(parser) else measure(parsed)
        } catch (exception: CmdLineException) {
            System.err.println("comfreypath measure: ${exception.message}")
            EXIT_USAGE
        }
    }

    private fun printHelp(parser: CmdLineParser): Int {
        val names = (measurements + slopes).joinToString(", ") { it.name }
        println("usage: comfreypath measure NAME [...]\n\n NAME is one of $names, overhead, all\n")
        parser.printUsage(System.out)
        return 0
    }

    private fun measure(arguments: MeasureArguments): Int = when (arguments.name) {
        "overhead" -> runOverhead(arguments)
        "slopes" -> runMeasurement(slopes, arguments)
        "all" -> measurements.map { runMeasurement(it, arguments) }.max()
        else -> {
            val measurement = measurements.firstOrNull { it.name == arguments.name }
            if (measurement == null) reportUnknown(arguments) else runMeasurement(measurement, arguments)
        }
    }

    private fun reportUnknown(arguments: MeasureArguments): Int {
        System.err.println("comfreypath measure: unknown measurement \"${arguments.name}\"")
        return EXIT_USAGE
    }

    private fun runMeasurement(measurement: Measurement, arguments: MeasureArguments): Int {
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

    private fun runOverhead(arguments: MeasureArguments): Int {
        val report = runBlocking { Overhead(arguments.rate, arguments.seconds).run() }
        printTable(report)
        println(wireJson.encodeToString(report))
        return if (report.met) 0 else 1
    }

    private fun printTable(report: OverheadReport) {
        println("milliseconds at          50      95      99   requests/s  processor us/request")
        printRow("straight to the engine", report.direct)
        printRow("through a router", report.throughRouter)
        printAdded("added", report.added)
        printAdded("added to first piece", report.addedToFirstPiece)
        println()
    }

    private fun printRow(name: String, cost: PathCost) = println(
        "%-22s %6.2f  %6.2f  %6.2f   %10.0f  %20.0f".format(
            name,
            cost.whole.median,
            cost.whole.at95,
            cost.whole.at99,
            cost.requestsPerSecond,
            cost.processorMicroseconds,
        ),
    )

    private fun printAdded(name: String, latency: LatencySummary) =
        println("%-22s %6.2f  %6.2f  %6.2f".format(name, latency.median, latency.at95, latency.at99))
}

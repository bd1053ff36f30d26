package comfreypath.daemon.command

import comfreypath.daemon.EXIT_USAGE
import comfreypath.standins.EngineOptions
import comfreypath.standins.EngineStandIn
import comfreypath.standins.ObjectStoreStandIn
import comfreypath.standins.ServiceStandIn
import comfreypath.transport.Address
import comfreypath.transport.dispatcher
import comfreypath.transport.eventLoops
import io.netty.channel.EventLoop
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.io.IOException
import java.time.Duration
import java.util.concurrent.CountDownLatch

private const val DEFAULT_SLOTS = 16
private const val DEFAULT_COLD_SLOTS = 2
private const val DEFAULT_TOKEN_MILLISECONDS = 2L

private class StandInArguments {
    @field:Argument(index = 0, metaVar = "KIND", usage = "object-store, engine or service", required = true)
    var kind: String = ""

    @field:Option(name = "--listen", metaVar = "IP:port", usage = "the address to listen on")
    var listen: String = "127.0.0.1:0"

    @field:Option(
        name = "--slots",
        metaVar = "completions",
        usage = "engine: the maximum number of concurrent completions"
    )
    var slots: Int = DEFAULT_SLOTS

    @field:Option(
        name = "--cold-slots",
        metaVar = "completions",
        usage = "engine: the maximum number of concurrent completions during warm-up"
    )
    var coldSlots: Int = DEFAULT_COLD_SLOTS

    @field:Option(name = "--warm-up", metaVar = "seconds", usage = "engine: the duration of the warm-up after start")
    var warmUpSeconds: Long = 0

    @field:Option(name = "--token-time", metaVar = "milliseconds", usage = "engine: the time between two chunks")
    var tokenMilliseconds: Long = DEFAULT_TOKEN_MILLISECONDS
}

/** Runs a stand-in for an external system until the process is killed. */
class StandInCommand {
    /** Returns the exit status if the stand-in can't start: [EXIT_USAGE] for invalid arguments, otherwise 1. */
    fun run(arguments: List<String>): Int {
        val parsed = StandInArguments()
        val parser = CmdLineParser(parsed)
        if ("--help" in arguments) {
            println("usage: comfreypath stand-in object-store|engine|service [...]\n")
            parser.printUsage(System.out)
            println("\nPOST /faults sets the faults; GET /counts returns the counts.")
            return 0
        }
        return try {
            parser.parseArgument(arguments)
            val address = Address.parse(parsed.listen) ?: throw CmdLineException(
                parser,
                "--listen is \"${parsed.listen}\"; expected an IP address and a port",
                null,
            )
            serve(parsed, address)
        } catch (exception: CmdLineException) {
            System.err.println("comfreypath stand-in: ${exception.message}")
            EXIT_USAGE
        } catch (exception: IOException) {
            System.err.println("comfreypath stand-in: ${exception.message}")
            1
        }
    }

    private fun serve(arguments: StandInArguments, address: Address): Int {
        val loop = eventLoops("stand-in", 1).next()
        val start = startFunction(arguments, loop)
        if (start == null) {
            System.err.println("comfreypath stand-in: unknown kind \"${arguments.kind}\"")
            return EXIT_USAGE
        }
        val boundAddress = runBlocking { withContext(loop.dispatcher()) { start(address) } }
        println("${arguments.kind} listens on $boundAddress")
        CountDownLatch(1).await()
        return 0
    }

    private fun startFunction(arguments: StandInArguments, loop: EventLoop): (suspend (Address) -> Address)? =
        when (arguments.kind) {
            "object-store" -> ObjectStoreStandIn(loop)::start
            "engine" -> EngineStandIn(loop, engineOptions(arguments))::start
            "service" -> ServiceStandIn(loop)::start
            else -> null
        }

    private fun engineOptions(arguments: StandInArguments) = EngineOptions(
        slots = arguments.slots,
        coldSlots = arguments.coldSlots,
        warmUp = Duration.ofSeconds(arguments.warmUpSeconds),
        tokenTime = Duration.ofMillis(arguments.tokenMilliseconds),
    )
}

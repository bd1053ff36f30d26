package comfreypath.transport

import io.netty.channel.EventLoop
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentLinkedQueue

private const val POLL_MILLISECONDS = 5L
private const val MAX_POLLS = 1_000

/** Runs a server on a loop of its own and collects its events. */
internal class ServerFixture(
    var options: HttpServerOptions,
    memory: BodyMemory,
    handler: suspend (IncomingRequest, ResponseWriter) -> Unit,
) {
    private val loop: EventLoop = eventLoops("test", 1).next()

    constructor(
        options: HttpServerOptions = HttpServerOptions(),
        handler: suspend (IncomingRequest, ResponseWriter) -> Unit,
    ) : this(options, BodyMemory.unlimited(), handler)

    val events = ConcurrentLinkedQueue<ServerEvent>()
    val server = HttpServer(loop, { options }, memory, onEvent = { events += it }, handler = handler)
    val address: Address = onLoop { server.start(Address("127.0.0.1", 0)) }

    val unanswered: List<ServerEvent.RequestUnanswered>
        get() = events.filterIsInstance<ServerEvent.RequestUnanswered>()

    fun count(event: ServerEvent): Int = events.count { it == event }

    fun <T> onLoop(action: suspend () -> T): T = runBlocking { withContext(loop.dispatcher()) { action() } }

    /** Waits until each request that was read is accounted for; fails if it never is. */
    fun awaitAccounts() = eventually("all requests are accounted for") {
        count(ServerEvent.RequestRead) == count(ServerEvent.ResponseWritten) + unanswered.size
    }

    fun eventually(what: String, condition: () -> Boolean) {
        var polls = 0
        while (!condition()) {
            polls += 1
            check(polls < MAX_POLLS) { "timed out waiting until $what: $events" }
            Thread.sleep(POLL_MILLISECONDS)
        }
    }

    /** Runs [test] and ends the server. */
    fun run(test: ServerFixture.() -> Unit) {
        try {
            test()
        } finally {
            loop.parent().shutdownGracefully()
        }
    }
}

package comfreypath.transport

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import java.io.IOException
import java.net.InetSocketAddress
import java.time.InstantSource

private const val ACCEPT_BACKLOG = 1_024

/** Long enough for the event loop to accept connections once more. */
private const val ACCEPT_ROUND_MILLISECONDS = 1L
private const val MAX_ACCEPT_ROUNDS = 250

/**
 * An HTTP/1.1 server whose connections and handlers all run on one event loop.
 *
 * @param options provides the limits in force, which can change while the server runs; only a change of
 * [HttpServerOptions.maxHeaderBytes] does not apply to connections that are already open
 * @param memory the budgets for the heads and bodies of all requests and their responses, and for all connections
 * @param clock measures the age of requests
 * @param onEvent is called with each event of a request or connection, on the loop's thread
 */
class HttpServer(
    private val loop: EventLoop,
    private val options: () -> HttpServerOptions,
    memory: BodyMemory = BodyMemory.unlimited(),
    clock: InstantSource = InstantSource.system(),
    private val onEvent: (ServerEvent) -> Unit = {},
    handler: suspend (IncomingRequest, ResponseWriter) -> Unit,
) {
    private val connections = DefaultChannelGroup(loop)
    private val readSizes = AdaptiveRecvByteBufAllocator()
    private val budget = memory.connections
    private val scope = CoroutineScope(loop.dispatcher() + SupervisorJob())
    private val environment = ServerEnvironment(
        scope = scope,
        options = options,
        mayKeepAlive = { !closeAfterResponse },
        memory = memory,
        reports = ServerReports(clock, onEvent),
        handler = handler,
    )
    private var listener: Channel? = null
    private var acceptedCount = 0L

    init {
        budget.addServer(::closeReplaceable)
    }

    constructor(
        loop: EventLoop,
        options: HttpServerOptions,
        handler: suspend (IncomingRequest, ResponseWriter) -> Unit,
    ) : this(loop, { options }, handler = handler)

    /** While true, connections are closed after their next response, so that callers reconnect elsewhere. */
    var closeAfterResponse: Boolean = false

    /** The number of open connections. */
    val connectionCount: Int get() = connections.size

    /** Binds to [address] (port 0: any free port) and returns the bound address; throws [IOException] on failure. */
    suspend fun start(address: Address): Address {
        val bound = ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(Initializer())
            .bind(address.toSocketAddress())
        if (!bound.awaitSuccess()) {
            throw IOException("cannot listen on $address: ${bound.cause().message}", bound.cause())
        }
        listener = bound.channel()
        val local = bound.channel().localAddress() as InetSocketAddress
        return Address(address.host, local.port)
    }

    /**
     * Closes the listener; open connections stay open. Connections that wait to be accepted are accepted first, since
     * closing the listener would reset them.
     */
    suspend fun stopAccepting() {
        var rounds = 0
        var before = -1L
        while (listener?.isActive == true && acceptedCount != before && rounds < MAX_ACCEPT_ROUNDS) {
            before = acceptedCount
            rounds += 1
            delay(ACCEPT_ROUND_MILLISECONDS)
        }
        closeListener()
    }

    private suspend fun closeListener() {
        listener?.close()?.awaitSuccess()
    }

    /** Closes the connections that have no request in progress, unless they have only just been opened. */
    fun closeIdle() {
        openConnections().forEach { it.closeIfIdle() }
    }

    private fun openConnections() = connections.mapNotNull { it.pipeline().get(ServerConnection::class.java) }

    /** The connection to close for another one: one that sends nothing, was never answered, and waits longest. */
    private fun replaceable(): ServerConnection? = openConnections().filter { it.replaceable }
        .minWithOrNull(compareBy({ it.receiving }, { it.answered }, { it.idleSince }))

    private fun closeReplaceable(): Boolean = replaceable()?.yieldToAnother() != null

    /** Returns true if a new connection may stay, for which another one may have been closed. */
    private fun makeRoom(maxConnections: Int): Boolean {
        val full = connections.size >= maxConnections
        if (full || budget.full) {
            onEvent(ServerEvent.ConnectionRefused(connections.size))
            if (full) closeReplaceable() else budget.makeRoom()
        }
        return connections.size < maxConnections && !budget.full
    }

    /** Closes the listener and all connections, aborting the requests in progress. */
    suspend fun stop() {
        closeListener()
        openConnections().forEach { it.stop() }
        connections.close().awaitSuccess()
        scope.cancel()
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            acceptedCount += 1
            val limits = options()
            if (!makeRoom(limits.maxConnections)) {
                channel.close()
                return
            }
            connections.add(channel)
            budget.add(channel)
            val pacer = ReadPacer(channel, environment.memory.pace).apply { allocateWith(readSizes) }
            val gate = WriteGate()
            val encoder = ResponseEncoder()
            val address = (channel.remoteAddress() as? InetSocketAddress)?.address?.hostAddress.orEmpty()
            lateinit var connection: ServerConnection
            val requestMemory = RequestMemory(environment.memory, address, environment.clock) {
                environment.memory.unfinished.refuseFor(connection, it)
            }
            val timer = ReceiveTimer(options, environment.clock) {
                channel.pipeline().get(StrictRequestDecoder::class.java)?.partial == true
            }
            connection = ServerConnection(environment, PipelineHandlers(gate, timer, encoder, pacer), requestMemory)
            channel.pipeline()
                .addLast(pacer)
                .addLast(timer)
                .addLast(StrictRequestDecoder(limits.maxHeaderBytes, requestMemory))
                .addLast(encoder)
                .addLast(gate)
                .addLast(connection)
        }
    }
}

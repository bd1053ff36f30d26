package comfreypath.daemon

import comfreypath.daemon.command.RouterCommand
import comfreypath.transport.eventLoops
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.system.exitProcess

private const val BLOCK_BYTES = 1_048_576
private const val SERVING_MILLISECONDS = 2_000L

/** Runs a router for a while and then does [harm]. */
private fun runThen(arguments: Array<String>, harm: (EventLoop) -> Unit) {
    val loop = eventLoops("router", 1).next()
    thread(isDaemon = true) {
        Thread.sleep(SERVING_MILLISECONDS)
        harm(loop)
    }
    exitProcess(RouterCommand { loop }.run(arguments.drop(1), System.getenv()))
}

/** Runs a router whose event loop ends. */
internal object EndingLoopRouter {
    @JvmStatic
    fun main(arguments: Array<String>) = runThen(arguments) { loop ->
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }
}

/** Runs a router whose heap is filled by another thread. */
internal object FullHeapRouter {
    private val blocks = mutableListOf<ByteArray>()

    @JvmStatic
    fun main(arguments: Array<String>) = runThen(arguments) {
        while (true) blocks += ByteArray(BLOCK_BYTES)
    }
}

/** Runs a router whose heap is filled by a task of its event loop. */
internal object FullHeapLoopRouter {
    private val blocks = mutableListOf<ByteArray>()

    @JvmStatic
    fun main(arguments: Array<String>) = runThen(arguments) { loop ->
        loop.execute { while (true) blocks += ByteArray(BLOCK_BYTES) }
    }
}

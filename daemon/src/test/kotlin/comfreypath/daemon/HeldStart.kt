package comfreypath.daemon

import comfreypath.daemon.command.RouterCommand
import comfreypath.transport.eventLoops
import io.netty.channel.EventLoop
import java.io.IOException
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/** Runs a router whose event loop is held for a while as soon as it listens for callers. */
internal object HeldStart {
    /** What the process prints when its loop is held. */
    const val HELD = "the event loop is held"
    private const val HOLD_MILLISECONDS = 2_000L

    @JvmStatic
    fun main(arguments: Array<String>) {
        val port = arguments[arguments.indexOf("--listen") + 1].substringAfter(':').toInt()
        val loop = eventLoops("router", 1).next()
        thread(isDaemon = true) { holdOnceListening(loop, port) }
        exitProcess(RouterCommand { loop }.run(arguments.drop(1), System.getenv()))
    }

    private fun holdOnceListening(loop: EventLoop, port: Int) {
        while (!listens(port)) Thread.onSpinWait()
        loop.execute {
            println(HELD)
            Thread.sleep(HOLD_MILLISECONDS)
        }
    }

    private fun listens(port: Int): Boolean = try {
        Socket("127.0.0.1", port).close()
        true
    } catch (_: IOException) {
        false
    }
}

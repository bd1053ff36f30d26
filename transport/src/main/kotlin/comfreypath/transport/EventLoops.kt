package comfreypath.transport

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import io.netty.util.concurrent.Future
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/** Creates event loops on [threads] daemon threads whose names start with [name]. */
fun eventLoops(name: String, threads: Int): EventLoopGroup =
    MultiThreadIoEventLoopGroup(threads, DefaultThreadFactory(name, true), NioIoHandler.newFactory())

/** A dispatcher that runs coroutines on this loop's thread, so that state confined to the loop needs no lock. */
fun EventLoop.dispatcher(): CoroutineDispatcher = asCoroutineDispatcher()

/** Suspends until the future completes and returns whether it succeeded. */
internal suspend fun Future<*>.awaitSuccess(): Boolean = suspendCancellableCoroutine { continuation ->
    addListener { continuation.resume(it.isSuccess) }
}

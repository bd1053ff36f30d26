package comfreypath.transport

import io.netty.channel.SimpleChannelInboundHandler

/**
 * A handler of messages of type [T] on one channel.
 *
 * Netty otherwise reads the annotations of a handler's class to find out whether it may be shared. The first time, that
 * takes a noticeable part of a process's start.
 */
abstract class MessageHandler<T> : SimpleChannelInboundHandler<T>() {
    final override fun isSharable(): Boolean = false
}

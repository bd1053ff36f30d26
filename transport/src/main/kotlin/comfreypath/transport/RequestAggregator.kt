package comfreypath.transport

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** The state of a request after its latest part. */
internal sealed interface Aggregation {
    /** More parts are needed. */
    data object Incomplete : Aggregation

    /** The request is complete; [keepAlive] is true if its connection may carry another one. */
    class Complete(val request: IncomingRequest, val keepAlive: Boolean) : Aggregation

    /** The request is malformed or exceeds a limit. */
    class Rejected(val rejection: HttpRejection) : Aggregation
}

/**
 * Assembles the requests on one connection from their parts. Between two requests it holds no body.
 *
 * A client that waits for an interim response before it sends a body is told to continue once [mayContinue] is true or
 * [proceed] is called; within another response, the interim one would be taken for a part of it.
 */
internal class RequestAggregator(
    private val maxBodyBytes: () -> Int,
    private val memory: RequestMemory,
    private val timer: ReceiveTimer,
    private val mayContinue: () -> Boolean,
) {
    private var continueAwaited = false
    private var partial: PartialRequest? = null

    private class PartialRequest(val head: HttpRequest, val body: BodyBuffer, val memory: ExchangeMemory)

    /** Adds the next part. */
    fun add(context: ChannelHandlerContext, message: HttpObject): Aggregation {
        val failure = message.decoderResult().cause()
        if (failure != null) {
            return Aggregation.Rejected(rejectionFor(failure))
        }
        if (message is HttpRequest) {
            begin(context, message)
        }
        return if (message is HttpContent) append(context, message) else Aggregation.Incomplete
    }

    private fun begin(context: ChannelHandlerContext, request: HttpRequest) {
        continueAwaited = false
        val accounts = memory.accounts()
        partial = PartialRequest(request, BodyBuffer(maxBodyBytes(), accounts.request), accounts)
        timer.partReceived(context)
        if (HttpUtil.is100ContinueExpected(request)) {
            continueAwaited = true
            if (mayContinue()) proceed(context) else timer.hold()
        }
    }

    /** Tells a client that waits for it to send the body of its request. */
    fun proceed(context: ChannelHandlerContext) {
        if (continueAwaited) {
            continueAwaited = false
            timer.partReceived(context)
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun append(context: ChannelHandlerContext, content: HttpContent): Aggregation {
        val request = partial ?: return Aggregation.Incomplete
        continueAwaited = false
        val bytes = ByteArray(content.content().readableBytes())
        content.content().readBytes(bytes)
        return when (memory.addTo(request.body, bytes)) {
            BodyGrowth.TOO_LONG -> Aggregation.Rejected(HttpRejection.BODY_TOO_LARGE)
            BodyGrowth.OUT_OF_MEMORY -> Aggregation.Rejected(HttpRejection.OUT_OF_MEMORY)
            BodyGrowth.ADDED -> if (content is LastHttpContent) complete(request) else incomplete(context)
        }
    }

    /** Drops a request that is not complete. */
    fun discard() {
        continueAwaited = false
        memory.discard()
        partial = null
    }

    private fun incomplete(context: ChannelHandlerContext): Aggregation {
        timer.partReceived(context)
        return Aggregation.Incomplete
    }

    private fun complete(request: PartialRequest): Aggregation {
        timer.requestReceived()
        memory.complete()
        partial = null
        val head = request.head
        val body = request.body.toByteArray()
        val message = IncomingRequest(head.method(), head.uri(), head.headers(), body, request.memory)
        return Aggregation.Complete(message, HttpUtil.isKeepAlive(head))
    }

    private fun rejectionFor(failure: Throwable): HttpRejection = when (failure) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> HttpRejection.HEADER_TOO_LARGE
        is HeadOutOfMemoryException -> HttpRejection.OUT_OF_MEMORY
        else -> HttpRejection.MALFORMED
    }
}

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
import java.io.ByteArrayOutputStream

/** What a part of a request led to. */
internal sealed interface Gathered {
    /** More parts are needed. */
    data object Incomplete : Gathered

    /** The request is whole; [keepAlive] tells whether its connection may take another one. */
    class Whole(val request: IncomingRequest, val keepAlive: Boolean) : Gathered

    /** The request can't be taken. */
    class Rejected(val rejection: HttpRejection) : Gathered
}

/** Puts the parts of the requests on one connection together. */
internal class RequestGatherer(private val bodyLimit: Int, private val timer: ReceiveTimer) {
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream()

    /** True while part of a request has arrived. */
    val receiving: Boolean get() = head != null

    /** Takes the next part in. */
    fun take(context: ChannelHandlerContext, message: HttpObject): Gathered {
        val failure = message.decoderResult().cause()
        if (failure != null) {
            return Gathered.Rejected(rejectionFor(failure))
        }
        if (message is HttpRequest) {
            begin(context, message)
        }
        return if (message is HttpContent) gather(context, message) else Gathered.Incomplete
    }

    private fun begin(context: ChannelHandlerContext, request: HttpRequest) {
        head = request
        body = ByteArrayOutputStream()
        timer.bodyArrives(context)
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun gather(context: ChannelHandlerContext, content: HttpContent): Gathered {
        val bytes = content.content()
        val request = head
        return when {
            body.size() + bytes.readableBytes() > bodyLimit -> Gathered.Rejected(HttpRejection.BODY_TOO_LARGE)
            request == null -> Gathered.Incomplete
            else -> {
                bytes.readBytes(body, bytes.readableBytes())
                if (content is LastHttpContent) complete(request) else incomplete(context)
            }
        }
    }

    private fun incomplete(context: ChannelHandlerContext): Gathered {
        timer.bodyArrives(context)
        return Gathered.Incomplete
    }

    private fun complete(request: HttpRequest): Gathered {
        timer.requestArrived()
        head = null
        val message = IncomingRequest(request.method(), request.uri(), request.headers(), body.toByteArray())
        return Gathered.Whole(message, HttpUtil.isKeepAlive(request))
    }

    private fun rejectionFor(failure: Throwable): HttpRejection =
        if (failure is TooLongHttpHeaderException || failure is TooLongHttpLineException) {
            HttpRejection.HEADER_TOO_LARGE
        } else {
            HttpRejection.MALFORMED
        }
}

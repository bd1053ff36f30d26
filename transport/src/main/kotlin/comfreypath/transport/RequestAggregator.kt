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

/** The state of a request after its latest part. */
internal sealed interface Aggregation {
    /** More parts are needed. */
    data object Incomplete : Aggregation

    /** The request is complete; [keepAlive] is true if its connection may carry another one. */
    class Complete(val request: IncomingRequest, val keepAlive: Boolean) : Aggregation

    /** The request is malformed or exceeds a limit. */
    class Rejected(val rejection: HttpRejection) : Aggregation
}

/** Assembles the requests on one connection from their parts. */
internal class RequestAggregator(private val maxBodyBytes: () -> Int, private val timer: ReceiveTimer) {
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream()
    private var bodyLimit = maxBodyBytes()

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
        head = request
        body = ByteArrayOutputStream()
        bodyLimit = maxBodyBytes()
        timer.partReceived(context)
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun append(context: ChannelHandlerContext, content: HttpContent): Aggregation {
        val bytes = content.content()
        val request = head
        return when {
            body.size() + bytes.readableBytes() > bodyLimit -> Aggregation.Rejected(HttpRejection.BODY_TOO_LARGE)
            request == null -> Aggregation.Incomplete
            else -> {
                bytes.readBytes(body, bytes.readableBytes())
                if (content is LastHttpContent) complete(request) else incomplete(context)
            }
        }
    }

    private fun incomplete(context: ChannelHandlerContext): Aggregation {
        timer.partReceived(context)
        return Aggregation.Incomplete
    }

    private fun complete(request: HttpRequest): Aggregation {
        timer.requestReceived()
        head = null
        val message = IncomingRequest(request.method(), request.uri(), request.headers(), body.toByteArray())
        return Aggregation.Complete(message, HttpUtil.isKeepAlive(request))
    }

    private fun rejectionFor(failure: Throwable): HttpRejection =
        if (failure is TooLongHttpHeaderException || failure is TooLongHttpLineException) {
            HttpRejection.HEADER_TOO_LARGE
        } else {
            HttpRejection.MALFORMED
        }
}

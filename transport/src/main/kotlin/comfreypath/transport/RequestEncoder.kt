package comfreypath.transport

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder

private const val SPACE = ' '.code
private const val LINE_END = "\r\n"

/** Encodes requests, with each character of a target as the one byte from which the decoder made it. */
internal class RequestEncoder : HttpRequestEncoder() {
    override fun encodeInitialLine(buffer: ByteBuf, request: HttpRequest) {
        ByteBufUtil.writeAscii(buffer, request.method().asciiName())
        buffer.writeByte(SPACE)
        buffer.writeCharSequence(request.uri().ifEmpty { "/" }, Charsets.ISO_8859_1)
        buffer.writeByte(SPACE)
        ByteBufUtil.writeAscii(buffer, request.protocolVersion().text() + LINE_END)
    }
}

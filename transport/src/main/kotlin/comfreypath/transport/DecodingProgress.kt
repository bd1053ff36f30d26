package comfreypath.transport

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.LastHttpContent

/** Tracks whether a decoder is within a message. */
internal class DecodingProgress {
    /** True while a part of a message has been decoded, but not its end. */
    var partial = false
        private set

    /** Runs [decode], which reads from [buffer] and adds what it has decoded to [out]. */
    fun track(buffer: ByteBuf, out: List<Any>, decode: () -> Unit) {
        val readable = buffer.readableBytes()
        val messages = out.size
        decode()
        if (out.size > messages && out.last() is LastHttpContent) {
            partial = false
        } else if (buffer.readableBytes() < readable) {
            partial = true
        }
    }
}

package comfreypath.transport

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class JoinedHeadsTest {
    private val earlier = "HTTP/1.1 200 OK\r\nServer: s\r\nX-Response-Seal: 1.2\r\n"
    private val response = "HTTP/1.1 500 Failed\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n"

    /** Decodes [bytes]; null if they hold no response, or none that can be read. */
    private fun decode(bytes: String): HttpResponse? {
        val channel = EmbeddedChannel(ResponseDecoder { HttpMethod.GET })
        channel.writeInbound(Unpooled.wrappedBuffer(bytes.encodeToByteArray()))
        val response = channel.readInbound<Any>() as? HttpResponse
        channel.finishAndReleaseAll()
        return response?.takeIf { it.decoderResult().isSuccess }
    }

    @Test
    fun `a head that begins with any part of another one does not have its status`() {
        val wrong = (1 until earlier.length).mapNotNull { length ->
            decode(earlier.take(length) + response)?.takeIf { it.status().code() != FAILED }
        }
        expectThat(wrong).isEqualTo(emptyList())
    }

    @Test
    fun `heads that name the protocol in a value are whole`() {
        val values = listOf("Server: SimpleHTTP/0.6 Python/3", "Via: HTTP/1.1 proxy", "Upgrade: HTTP/2.0, HTTP/1.1")
        val heads = values.map { decode("HTTP/1.1 200 OK\r\n$it\r\nContent-Length: 0\r\n\r\n") }
        expectThat(heads).all { isNotNull() }
    }

    @Test
    fun `a status line between headers is malformed`() {
        expectThat(decode("HTTP/1.1 200 OK\r\n$response")).isNull()
    }

    private companion object {
        const val FAILED = 500
    }
}

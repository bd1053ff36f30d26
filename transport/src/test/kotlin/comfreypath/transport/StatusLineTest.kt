package comfreypath.transport

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class StatusLineTest {
    private fun wellFormed(response: String, method: HttpMethod = HttpMethod.POST): Boolean {
        val channel = EmbeddedChannel(ResponseDecoder { method })
        channel.writeInbound(Unpooled.wrappedBuffer(response.encodeToByteArray()))
        val decoded = channel.readInbound<Any>() as? HttpResponse
        channel.finishAndReleaseAll()
        return decoded?.decoderResult()?.isSuccess == true
    }

    @Test
    fun `statuses outside 100 to 599 or of other than three digits are malformed`() {
        val odd = listOf("000", "0", "099", "99", "600", "999", "1000", "20", "0200", "+200", "-200", "2e2", "200x")
        expectThat(odd.filter { wellFormed("HTTP/1.1 $it Odd\r\nContent-Length: 0\r\n\r\n") }).isEqualTo(emptyList())
    }

    @Test
    fun `statuses from 100 to 599 are well-formed, but for a switch of protocols that nobody asked for`() {
        val malformed = (100..599).filterNot { wellFormed("HTTP/1.1 $it Reason\r\nContent-Length: 0\r\n\r\n") }
        expectThat(malformed).isEqualTo(listOf(101))
        expectThat(wellFormed("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n")).isTrue()
    }

    @Test
    fun `responses without content that bring a body are malformed`() {
        expectThat(
            listOf(
                "204 No Content\r\nContent-Length: 2\r\n\r\n",
                "204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
                "204 No Content\r\n\r\nok",
                "304 Not Modified\r\nContent-Length: 2\r\n\r\nok",
            ).map { wellFormed("HTTP/1.1 $it") },
        ).all { isFalse() }
        expectThat(wellFormed("HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n")).isTrue()
        expectThat(wellFormed("HTTP/1.1 204 No Content\r\n\r\n")).isTrue()
    }
}

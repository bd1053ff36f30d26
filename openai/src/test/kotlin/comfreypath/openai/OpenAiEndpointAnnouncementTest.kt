package comfreypath.openai

import comfreypath.router.request.EndpointResponseHead
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.time.Duration

class OpenAiEndpointAnnouncementTest {
    private fun read(status: Int, name: String, value: String): EndpointResponseHead =
        OpenAiEndpointDialect().read(status, DefaultHttpHeaders().add(name, value))

    @Test
    fun `an endpoint announces that it leaves`() {
        expectThat(read(200, OpenAiHeaders.LEAVING, "1").leaving).isTrue()
        expectThat(read(200, OpenAiHeaders.REQUEST_ID, "r").leaving).isFalse()
    }

    @Test
    fun `an endpoint names the rate that it takes`() {
        expectThat(read(200, OpenAiHeaders.RATE_LIMIT, "4.3").rateLimit).isEqualTo(4.3)
        expectThat(read(200, OpenAiHeaders.REQUEST_ID, "r").rateLimit).isNull()
        listOf("-1", "1e3", "few").forEach {
            val head = read(503, OpenAiHeaders.RATE_LIMIT, it)
            expectThat(head.rateLimit).isNull()
            expectThat(head.unreadableRateLimit).isEqualTo(it)
        }
    }

    @Test
    fun `an endpoint that refuses asks for a pause in milliseconds`() {
        expectThat(read(503, OpenAiHeaders.PAUSE, "1500").pause).isEqualTo(Duration.ofMillis(1_500))
        expectThat(read(200, OpenAiHeaders.PAUSE, "1500").pause).isNull()
        listOf("-1", "1.5", "soon", "9".repeat(30)).forEach {
            val head = read(503, OpenAiHeaders.PAUSE, it)
            expectThat(head.pause).isNull()
            expectThat(head.unreadablePause).isEqualTo(it)
        }
    }
}

package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformEndpointDialect
import comfreypath.platform.PlatformHeaders
import comfreypath.router.request.CallerRequest
import comfreypath.router.request.EndpointDialect
import comfreypath.router.request.EndpointResponseHead
import comfreypath.router.request.StreamEvent
import io.netty.handler.codec.http.HttpHeaders
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class RelayFailureTest {
    /** Fails on responses to requests whose ID starts with `head`, and on events of those that start with `event`. */
    private class FailingDialect : EndpointDialect by PlatformEndpointDialect() {
        override fun read(status: Int, headers: HttpHeaders): EndpointResponseHead {
            check(!headers.get(PlatformHeaders.REQUEST_ID).startsWith("head")) { "the head can't be read" }
            return PlatformEndpointDialect().read(status, headers)
        }

        override fun belongsTo(event: StreamEvent, request: CallerRequest): Boolean {
            check(!request.id.text.startsWith("event") || event.id != FAILING_EVENT) { "the event can't be read" }
            return true
        }
    }

    @Test
    fun `a request whose relay fails is refused as may have run`() =
        PlatformFixture(endpointDialect = FailingDialect()).run {
            val requests = listOf(
                PlatformRequest("book", "head-1", body = ByteArray(1)),
                PlatformRequest("history", "head-2"),
                PlatformRequest("draft", "head-3", TOKENS),
                PlatformRequest("follow", "head-4", TOKENS),
            )
            expectThat(requests.map { call(it)?.status }).all { isEqualTo(502) }
            expectThat(call(PlatformRequest("draft", "event-1", TOKENS))).isNull()
            expectThat(call(PlatformRequest("history", "h1"))?.status).isEqualTo(200)
        }

    private companion object {
        const val TOKENS = "1612,70"
        const val FAILING_EVENT = 4L
    }
}

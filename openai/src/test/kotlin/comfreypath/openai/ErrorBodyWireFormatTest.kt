package comfreypath.openai

import com.github.michaelbull.result.fold
import comfreypath.coordination.model.InstanceName
import comfreypath.router.request.Refusal
import comfreypath.router.request.RefusalCode
import comfreypath.transport.IncomingRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.time.Duration
import java.time.Instant

/** Guards against a renamed property that changes the error bodies by which callers decide on a retry. */
class ErrorBodyWireFormatTest {
    private val dialect = OpenAiCallerDialect(InstanceName("front-1"), startedAt = Instant.ofEpochMilli(36))

    private fun requestTo(path: String, body: String) = dialect.read(
        IncomingRequest(HttpMethod.POST, path, DefaultHttpHeaders(), body.encodeToByteArray()),
        Instant.EPOCH,
    ).fold(success = { it }, failure = { error("refused: ${it.detail}") })

    @Test
    fun `a refusal with all fields has this body and these headers`() {
        val refusal = Refusal(RefusalCode.OVERLOADED, "every endpoint is full", Duration.ofMillis(1_200))
        val response = dialect.encode(refusal, requestTo("/services/booking", "{}"))
        expectThat(response.status).isEqualTo(503)
        expectThat(response.body.decodeToString()).isEqualTo(
            """{"error":{"code":"overloaded","message":"every endpoint is full","verdict":"notRun",""" +
                """"retryAfterSeconds":2,"requestId":"front-1-10-1"}}""",
        )
        expectThat(response.headers.map { "${it.key}: ${it.value}" }.sorted()).containsExactly(
            "comfreypath-request: front-1-10-1",
            "content-type: application/json",
            "retry-after: 2",
        )
    }

    @Test
    fun `a refusal without a request omits the fields that have no value`() {
        val response = dialect.encode(Refusal(RefusalCode.TIMED_OUT, "no endpoint answered in time"), null)
        expectThat(response.body.decodeToString()).isEqualTo(
            """{"error":{"code":"timed_out","message":"no endpoint answered in time","verdict":"mayHaveRun"}}""",
        )
    }

    @Test
    fun `a chat with a model that no route has is refused with a code of its own`() {
        val chat = """{"model":"m","messages":[{"role":"user","content":"Hello"}]}"""
        val request = requestTo("/v1/chat/completions", chat)
        val response = dialect.encode(Refusal(RefusalCode.UNKNOWN_ROUTE, "no route"), request)
        expectThat(response.body.decodeToString()).isEqualTo(
            """{"error":{"code":"unknown_model","message":"no route","verdict":"notRun",""" +
                """"requestId":"front-1-10-1"}}""",
        )
    }
}

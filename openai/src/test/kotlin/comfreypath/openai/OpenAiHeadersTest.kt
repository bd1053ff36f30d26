package comfreypath.openai

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder

/** Guards against a changed header name that callers or endpoints would no longer recognize. */
class OpenAiHeadersTest {
    @Test
    fun `the headers beside those of HTTP have these names`() {
        val constants = OpenAiHeaders::class.java.declaredFields.filter { it.type == String::class.java }
        expectThat(constants.map { it.get(null) }).containsExactlyInAnyOrder(
            "comfreypath-request",
            "comfreypath-priority",
            "comfreypath-time-left",
            "comfreypath-endpoint",
            "comfreypath-team",
            "comfreypath-not-run",
            "comfreypath-leaving",
            "comfreypath-pause",
            "comfreypath-rate-limit",
            "last-event-id",
            "idempotency-key",
            "idempotency-replayed",
        )
    }
}

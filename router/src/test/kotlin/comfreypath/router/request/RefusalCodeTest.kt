package comfreypath.router.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly

/** Guards against a changed code or status, by which callers decide whether to send a request again. */
class RefusalCodeTest {
    @Test
    fun `each refusal has this code and status`() {
        expectThat(RefusalCode.entries.map { it.text to it.status }).containsExactly(
            "bad_input" to 400,
            "unknown_key" to 401,
            "unknown_route" to 404,
            "wrong_method" to 405,
            "key_reused" to 422,
            "outcome_unknown" to 409,
            "claims_unavailable" to 503,
            "not_ready" to 503,
            "no_endpoint" to 503,
            "all_endpoints_out" to 503,
            "endpoints_limited" to 503,
            "overloaded" to 503,
            "suspected_part" to 503,
            "expired" to 503,
            "answer_lost" to 502,
            "timed_out" to 504,
        )
    }

    @Test
    fun `only these refusals leave open whether the request ran`() {
        expectThat(RefusalCode.entries.filter { it.mayHaveRun }.map { it.text })
            .containsExactly("outcome_unknown", "answer_lost", "timed_out")
    }
}

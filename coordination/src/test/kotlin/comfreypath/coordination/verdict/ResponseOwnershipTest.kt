package comfreypath.coordination.verdict

import comfreypath.coordination.model.RequestId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.time.Instant

class ResponseOwnershipTest {
    private val own = RequestId("own")
    private val now = Instant.parse("2026-12-05T12:00:00Z")

    private fun owner(
        id: RequestId?,
        status: Int = 503,
        notRun: Boolean = true,
        repeatable: Boolean = false,
        first: Boolean = false,
    ) = ResponseOwnership.ownerOf(AwaitedResponse(own, repeatable, first), id, status, notRun)

    private val everyExchange = listOf(true, false).flatMap { repeatable ->
        listOf(true, false).map { first -> repeatable to first }
    }

    @Test
    fun `a refusal with the request's id is always believed`() = everyExchange.forEach { (repeatable, first) ->
        expectThat(owner(own, repeatable = repeatable, first = first)).isEqualTo(ResponseOwner.THIS_REQUEST)
    }

    @Test
    fun `a refusal with another id is never believed`() = everyExchange.forEach { (repeatable, first) ->
        val owner = owner(RequestId("other"), repeatable = repeatable, first = first)
        expectThat(owner).isEqualTo(ResponseOwner.OTHER_REQUEST)
    }

    @Test
    fun `a refusal without an id is believed on a new connection`() {
        expectThat(owner(id = null, first = true)).isEqualTo(ResponseOwner.THIS_REQUEST)
    }

    @Test
    fun `a refusal without an id is uncertain on a kept connection if the request may not be repeated`() {
        expectThat(owner(id = null)).isEqualTo(ResponseOwner.UNCERTAIN)
        expectThat(owner(id = null, repeatable = true)).isEqualTo(ResponseOwner.THIS_REQUEST)
    }

    @Test
    fun `every status that promises that the request has not run is uncertain without an id on a kept connection`() {
        listOf(408, 421, 429, 503).forEach {
            expectThat(owner(id = null, status = it, notRun = false)).isEqualTo(ResponseOwner.UNCERTAIN)
        }
        expectThat(owner(id = null, status = 400, notRun = true)).isEqualTo(ResponseOwner.UNCERTAIN)
    }

    @Test
    fun `a response that promises nothing is the request's own also without an id`() = listOf(200, 400, 500).forEach {
        expectThat(owner(id = null, status = it, notRun = false)).isEqualTo(ResponseOwner.THIS_REQUEST)
    }

    @Test
    fun `a connection is kept only after responses with an id`() {
        expectThat(ResponseOwnership.keepsConnection(own)).isTrue()
        expectThat(ResponseOwnership.keepsConnection(null)).isFalse()
    }

    @Test
    fun `a request that may not be repeated needs a new connection for a while after a refusal without an id`() {
        fun needed(repeatable: Boolean, refusedAt: Instant?) =
            ResponseOwnership.needsNewConnection(repeatable, refusedAt, now)
        expectThat(needed(repeatable = false, refusedAt = now)).isTrue()
        expectThat(needed(repeatable = false, refusedAt = now.minusSeconds(9))).isTrue()
        expectThat(needed(repeatable = false, refusedAt = now.minusSeconds(10))).isFalse()
        expectThat(needed(repeatable = false, refusedAt = null)).isFalse()
        expectThat(needed(repeatable = true, refusedAt = now)).isFalse()
    }
}

package comfreypath.transport

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Instant

class UnfinishedRequestsTest {
    private val now = Instant.parse("2026-12-07T12:00:00Z")
    private val requests = UnfinishedRequests()

    private inner class Request(
        override val refusableBytes: Long,
        ageMilliseconds: Long,
        override val address: String = "a",
    ) : UnfinishedRequest {
        override val receivingSince: Instant = now.minusMillis(ageMilliseconds)
        var refused = false

        init {
            requests.add(this)
        }

        override fun refuseUnfinished() {
            refused = true
            requests.remove(this)
        }
    }

    private fun refusedFor(newer: Request, address: String? = null) = requests.refuseFor(newer, address)

    @Test
    fun `the largest request is refused for a smaller one, however long it has been received`() {
        val all = listOf(Request(30, 900), Request(70, 0), Request(60, 900))
        expectThat(refusedFor(Request(20, 0))).isEqualTo(true)
        expectThat(all.map { it.refused }).isEqualTo(listOf(false, true, false))
    }

    @Test
    fun `of requests that are no larger, the one that has held most for longest is refused`() {
        val all = listOf(Request(50, 600), Request(40, 2_000), Request(10, 2_500), Request(0, 9_000))
        expectThat(refusedFor(Request(50, 0))).isEqualTo(true)
        expectThat(all.map { it.refused }).isEqualTo(listOf(false, true, false, false))
    }

    @Test
    fun `requests that began at about the same time are not refused for each other`() {
        Request(50, 300)
        expectThat(refusedFor(Request(50, 0))).isEqualTo(false)
    }

    @Test
    fun `a request is not refused for itself, and those of other clients only if any may be`() {
        val other = Request(90, 900, address = "b")
        val newer = Request(20, 0)
        expectThat(refusedFor(newer, address = "a")).isEqualTo(false)
        expectThat(refusedFor(newer)).isEqualTo(true)
        expectThat(refusedFor(newer)).isEqualTo(false)
        expectThat(other.refused).isEqualTo(true)
    }
}

package comfreypath.daemon

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import java.time.Duration
import java.time.Instant

class LateArrivalsTest {
    private val pair = RouterEndpoint("r0", "plain-1")
    private val other = RouterEndpoint("r1", "plain-1")

    private fun at(milliseconds: Long) = Instant.EPOCH + Duration.ofMillis(milliseconds)

    private fun arrival(attempt: String, sent: Long, received: Long = sent, of: RouterEndpoint = pair) =
        Arrival(of, attempt, at(sent), at(received))

    private fun List<Arrival>.attempts() = map { it.attempt }

    @Test
    fun `requests count as late by the time at which their caller sent them and by their own router`() {
        val arrivals = listOf(
            arrival("before", sent = 90, received = 2_000),
            arrival("within", sent = 1_100),
            arrival("late", sent = 1_101),
            arrival("elsewhere", sent = 5_000, of = other),
        )
        val knownAt = mapOf(pair to at(100))
        expectThat(arrivals.afterAnnouncement(knownAt).attempts()).containsExactly("within", "late")
        expectThat(arrivals.late(knownAt, Duration.ofSeconds(1)).attempts()).containsExactly("late")
        expectThat(arrivals.late(emptyMap(), Duration.ofSeconds(1))).isEmpty()
    }

    @Test
    fun `requests count within a pause by the time at which they arrive`() {
        val arrivals = listOf(
            arrival("allowed", sent = 0, received = 599),
            arrival("first", sent = 0, received = 600),
            arrival("last", sent = 0, received = 2_099),
            arrival("after", sent = 0, received = 2_100),
            arrival("elsewhere", sent = 0, received = 1_000, of = other),
        )
        expectThat(arrivals.within(Pause(pair, at(100), at(2_100))).attempts()).containsExactly("first", "last")
    }
}

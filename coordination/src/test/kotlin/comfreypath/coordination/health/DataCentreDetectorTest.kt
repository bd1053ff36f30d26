package comfreypath.coordination.health

import comfreypath.coordination.model.EndpointName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant
import java.util.PriorityQueue
import kotlin.random.Random

class DataCentreDetectorTest {
    private val detector = DataCentreDetector()
    private val start: Instant = Instant.ofEpochSecond(1_000)
    private val first = EndpointName("engine-1")
    private val second = EndpointName("engine-2")
    private val heard = detector.heard(DataCentreHealth(), start)

    private fun at(milliseconds: Long): Instant = start.plusMillis(milliseconds)

    private fun failing(vararg failures: Pair<EndpointName, Long>) = failures.fold(heard) { state, (name, time) ->
        detector.unanswered(state, name, at(time))
    }

    @Test
    fun `endpoints that fail together while none is heard are an outage`() {
        val state = failing(first to 300, second to 310)
        expectThat(state.isOut(at(311))).isTrue()
        expectThat(state.isOut(at(811))).isFalse()
    }

    @Test
    fun `one failing endpoint is no outage`() {
        expectThat(failing(first to 300, first to 600, first to 900).isOut(at(901))).isFalse()
    }

    @Test
    fun `endpoints that fail while others are heard are no outage`() {
        val state = detector.heard(failing(first to 300), at(305))
        expectThat(detector.unanswered(state, second, at(310)).isOut(at(311))).isFalse()
        expectThat(failing(first to 100, second to 110).isOut(at(111))).isFalse()
    }

    @Test
    fun `each further outage without a response lasts longer, and a response ends it`() {
        val again = detector.unanswered(failing(first to 300, second to 310), first, at(900))
        expectThat(again.outUntil).isEqualTo(at(1_900))
        val back = detector.heard(again, at(1_000))
        expectThat(back.isOut(at(1_001))).isFalse()
        expectThat(back.outages).isEqualTo(0)
    }

    @Test
    fun `one request tries whether an outage has ended`() {
        val trial = detector.attempted(failing(first to 300, second to 310), at(900))
        expectThat(trial.isOut(at(901))).isTrue()
        expectThat(detector.unanswered(trial, first, at(1_200)).outUntil).isEqualTo(at(2_200))
        expectThat(trial.isOut(at(1_400))).isFalse()
    }

    @Test
    fun `a router that reaches less than half of its endpoints uses all of them`() {
        val candidates = listOf(1, 2, 3, 4, 5)
        expectThat(detector.usable(candidates) { it <= 2 }).containsExactly(3, 4, 5)
        expectThat(detector.usable(candidates) { it <= 3 }).isEqualTo(candidates)
    }

    @Test
    fun `few requests are sent to a data centre that has lost power`() {
        val alone = requestsLost(byDataCentre = false)
        val together = requestsLost(byDataCentre = true)
        println("requests to the endpoints of a lost data centre: $alone alone, $together by data centre")
        expectThat(together).isLessThan(alone / 2)
    }

    /** One router's requests, 15 a second, that go to the 20 of 60 endpoints that lose power, in the 4 s after it. */
    private fun requestsLost(byDataCentre: Boolean): Int {
        val random = Random(seed = 3)
        val outliers = OutlierDetector()
        val health = HashMap<Int, HealthState>()
        val centres = HashMap<Int, DataCentreHealth>()
        val ends = PriorityQueue<Pair<Instant, Int>>(compareBy { it.first })
        var lost = 0
        repeat(REQUESTS) { number ->
            val now = at(number * GAP_MILLISECONDS)
            while (ends.isNotEmpty() && ends.first().first <= now) {
                val (time, endpoint) = ends.remove()
                val answered = endpoint % CENTRES != 0
                val evidence = if (answered) HealthEvidence.ANSWERED else HealthEvidence.UNREACHABLE
                health[endpoint] = outliers.after(health[endpoint] ?: HealthState(), evidence, time)
                val before = centres[endpoint % CENTRES] ?: heard
                centres[endpoint % CENTRES] = if (answered) {
                    detector.heard(before, time)
                } else {
                    detector.unanswered(before, EndpointName("$endpoint"), time)
                }
            }
            val usable = HealthFilter.usable((0 until ENDPOINTS).toList(), now) { health[it] ?: HealthState() }
            val candidates =
                if (byDataCentre) detector.usable(usable) { centres[it % CENTRES]?.isOut(now) == true } else usable
            val chosen = candidates.random(random)
            val dead = chosen % CENTRES == 0
            if (dead) lost += 1
            centres.computeIfPresent(chosen % CENTRES) { _, state -> detector.attempted(state, now) }
            ends += now + Duration.ofMillis(if (dead) CONNECT_MILLISECONDS else ANSWER_MILLISECONDS) to chosen
        }
        return lost
    }

    private companion object {
        const val ENDPOINTS = 60
        const val CENTRES = 3
        const val REQUESTS = 60
        const val GAP_MILLISECONDS = 66L
        const val CONNECT_MILLISECONDS = 300L
        const val ANSWER_MILLISECONDS = 50L
    }
}

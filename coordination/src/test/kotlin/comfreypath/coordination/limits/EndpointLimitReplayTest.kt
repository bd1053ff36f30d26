package comfreypath.coordination.limits

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Guards against an endpoint that gets far more requests from all routers together than the rate that it named. */
class EndpointLimitReplayTest {
    private fun excess(label: String, replays: (routers: Int, rate: Double, seed: Long) -> LimitReplay): List<String> =
        FLEETS.flatMap { routers ->
            RATES.flatMap { rate ->
                val peaks = (1..if (routers > SMALL) 1L else SEEDS).map { seed ->
                    val replay = replays(routers, rate, seed)
                    replay.run() to replay.bound
                }
                val (peak, bound) = peaks.maxBy { it.first }
                println("$label: $routers routers, $rate per second: up to $peak in four seconds, bound $bound")
                peaks.filter { it.first > it.second }.map { "$label, $routers routers, $rate per second: $it" }
            }
        }

    private fun expectWithinBound(label: String, replay: (routers: Int, rate: Double, seed: Long) -> LimitReplay) {
        expectThat(excess(label, replay).joinToString("\n")).isEqualTo("")
    }

    @Test
    fun `all routers together stay within the rate`() =
        expectWithinBound("all live") { routers, rate, seed -> LimitReplay(routers, rate, seed) }

    @Test
    fun `all routers together stay within the rate after nobody has sent for a while`() =
        expectWithinBound("idle") { routers, rate, seed -> LimitReplay(routers, rate, seed, idle = true) }

    @Test
    fun `a router that restarts does not bring the others over the rate`() =
        expectWithinBound("one restarts") { routers, rate, seed -> LimitReplay(routers, rate, seed, away = 1) }

    @Test
    fun `a third of the routers that come back at once do not bring all over the rate`() =
        expectWithinBound("a third returns") { routers, rate, seed ->
            LimitReplay(routers, rate, seed, away = routers / 3)
        }

    @Test
    fun `requests use most of the rate`() = FLEETS.forEach { routers ->
        RATES.filter { it >= 1 }.forEach { rate ->
            val replay = LimitReplay(routers, rate, seed = 1).also { it.run() }
            val used = replay.arrivals.size * 1_000.0 / LimitReplay.END / rate
            println("$routers routers, $rate per second: $used of it used")
            expectThat(used).isGreaterThan(MIN_USED)
        }
    }

    @Test
    fun `equal shares of all routers would exceed the rate once all have saved up a request`() {
        val everyRouter = EndpointLimitOptions(minSenders = MANY)
        val replay = LimitReplay(routers = 95, rate = 4.3, seed = 1, idle = true, options = everyRouter)
        val peak = replay.run()
        println("95 routers with equal shares, 4.3 per second: up to $peak in four seconds, bound ${replay.bound}")
        expectThat(peak.toDouble()).isGreaterThan(replay.bound)
    }

    private companion object {
        val FLEETS = listOf(1, 3, 9, 95, 400)
        val RATES = listOf(0.0, 1.0, 4.3, 30.0)
        const val SEEDS = 2L
        const val SMALL = 100
        const val MANY = 1_000
        const val MIN_USED = 0.7
    }
}

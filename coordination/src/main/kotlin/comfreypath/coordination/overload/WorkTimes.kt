package comfreypath.coordination.overload

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.routing.Route
import java.time.Duration

private const val MIN_WEIGHT = 0.05

/** Below this number of samples the average is not reliable. */
private const val MIN_SAMPLES = 10

/** Latency targets are about this multiple of the usual response time. */
private const val TARGET_TO_RESPONSE_TIME = 2L

/**
 * The arithmetic mean of the first samples, then an exponential moving average.
 *
 * @property milliseconds the current average
 * @property samples the number of samples so far
 */
data class MovingAverage(val milliseconds: Double = 0.0, val samples: Int = 0) {
    /** The average after one more sample. */
    fun with(sample: Duration): MovingAverage {
        val weight = maxOf(MIN_WEIGHT, 1.0 / (samples + 1))
        return MovingAverage(milliseconds + weight * (sample.toMillis() - milliseconds), samples + 1)
    }

    /** The average, or null while there are too few samples. */
    val value: Duration? get() = if (samples < MIN_SAMPLES) null else Duration.ofMillis(milliseconds.toLong())

    /** The average, mixed with [prior] while there are too few samples. */
    fun orPrior(prior: Duration): Duration {
        val weight = minOf(samples, MIN_SAMPLES) / MIN_SAMPLES.toDouble()
        return Duration.ofMillis((weight * milliseconds + (1 - weight) * prior.toMillis()).toLong())
    }
}

/**
 * Durations that a router has measured on requests that did not wait for a slot.
 *
 * @property holdTimes how long a request holds a slot, by service
 * @property kindHoldTimes how long a request holds a slot, by route
 * @property responseTimes the time from sending a request to the response, or to the first event of a stream, by route
 */
data class WorkTimes(
    val holdTimes: Map<ServiceName, MovingAverage> = emptyMap(),
    val responseTimes: Map<String, MovingAverage> = emptyMap(),
    val kindHoldTimes: Map<String, MovingAverage> = emptyMap(),
) {
    /** The times after one more request of [route] at [service]. */
    fun with(service: ServiceName, route: String, responseTime: Duration, holdTime: Duration): WorkTimes = WorkTimes(
        holdTimes = holdTimes + (service to (holdTimes[service] ?: MovingAverage()).with(holdTime)),
        responseTimes = responseTimes + (route to (responseTimes[route] ?: MovingAverage()).with(responseTime)),
        kindHoldTimes = kindHoldTimes + (route to (kindHoldTimes[route] ?: MovingAverage()).with(holdTime)),
    )

    /** The times of a request of [route], mixed with what its latency target suggests while there are few samples. */
    fun ofKind(route: Route): ExpectedTimes {
        val response = route.latencyTarget.dividedBy(TARGET_TO_RESPONSE_TIME)
        val hold = if (route.streaming) route.latencyTarget else response
        return ExpectedTimes(
            holdTime = (kindHoldTimes[route.name] ?: MovingAverage()).orPrior(hold),
            responseTime = (responseTimes[route.name] ?: MovingAverage()).orPrior(response),
        )
    }
}

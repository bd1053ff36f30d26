package comfreypath.coordination.overload

import comfreypath.coordination.model.ServiceName
import java.time.Duration

private const val NEW_SHARE = 0.05

/** The samples before which a mean says nothing. */
private const val LEAST_SAMPLES = 10

/**
 * A mean that follows recent samples.
 *
 * @property milliseconds the mean
 * @property samples how many were taken in
 */
data class MovingAverage(val milliseconds: Double = 0.0, val samples: Int = 0) {
    /** The mean with one more sample. */
    fun with(sample: Duration): MovingAverage {
        val share = maxOf(NEW_SHARE, 1.0 / (samples + 1))
        return MovingAverage(milliseconds + share * (sample.toMillis() - milliseconds), samples + 1)
    }

    /** The mean, or null while there are too few samples. */
    val value: Duration? get() = if (samples < LEAST_SAMPLES) null else Duration.ofMillis(milliseconds.toLong())
}

/**
 * What a router has learnt of the time that work takes while nothing waits.
 *
 * @property holdTimes by service, how long a request holds a slot
 * @property responseTimes by route, how long it takes from sending to the answer, or to a stream's first event
 */
data class WorkTimes(
    val holdTimes: Map<ServiceName, MovingAverage> = emptyMap(),
    val responseTimes: Map<String, MovingAverage> = emptyMap(),
) {
    /** Takes in that a request of [route] at [service] was answered after [responseTime] and done after [holdTime]. */
    fun with(service: ServiceName, route: String, responseTime: Duration, holdTime: Duration): WorkTimes = WorkTimes(
        holdTimes = holdTimes + (service to (holdTimes[service] ?: MovingAverage()).with(holdTime)),
        responseTimes = responseTimes + (route to (responseTimes[route] ?: MovingAverage()).with(responseTime)),
    )
}

package comfreypath.coordination.endpointload

import comfreypath.coordination.availability.Incarnation
import java.time.Duration
import java.time.Instant

private const val MAX_SILENCE_SECONDS = 60L
private const val MAX_PATIENCE = 3.0

/**
 * What one run of an endpoint's process has told of its load and of its pace.
 *
 * @property room its requests as of its last response; null if it has told none
 */
data class ToldLoad(
    val incarnation: Incarnation,
    val pace: EndpointPace = EndpointPace(),
    val room: EndpointRoom? = null
) {
    /** True if the endpoint has told its pace not long before [now]; one that tells none any more has none. */
    fun isCurrent(now: Instant): Boolean = pace.observedAt?.let { Duration.between(it, now) < maxSilence } ?: false

    /** How many times longer than usual an endpoint that works at this pace may be silent at [now]: 1 to 3. */
    fun patience(now: Instant): Double = if (isCurrent(now)) pace.at(now).coerceIn(1.0, MAX_PATIENCE) else 1.0

    private companion object {
        val maxSilence: Duration = Duration.ofSeconds(MAX_SILENCE_SECONDS)
    }
}

package comfreypath.standins

import java.time.Duration
import java.time.Instant

private const val MILLISECONDS_PER_SECOND = 1_000.0
private val SECONDS = Regex("""\d{1,6}(\.\d+)?""")

/**
 * A pause that a server has asked a sender for.
 *
 * @property requestedAt when the refusal that asked for it was sent
 * @property refused the number of later requests of this sender that were refused within the pause
 */
data class SenderPause(val sender: String, val requestedAt: Instant, val until: Instant, val refused: Int = 0)

/** The pauses that a server has asked its senders for. */
internal class SenderPauses {
    private val requested = mutableListOf<SenderPause>()
    private val current = HashMap<String, Int>()

    /** All pauses so far, in order of their beginning. */
    val all: List<SenderPause> get() = requested.toList()

    /**
     * Decides on a request of [sender] at [now]: the `Retry-After` value of its refusal, or null if it is not refused.
     * Within a pause it is the time left, so that no refusal extends the pause. Outside of one it is [retryAfter],
     * which begins a pause if it is a number of seconds.
     */
    fun refuse(sender: String, retryAfter: String?, now: Instant): String? {
        val index = current[sender]
        val pause = index?.let { requested[it] }
        if (index != null && pause != null && now < pause.until) {
            requested[index] = pause.copy(refused = pause.refused + 1)
            return "${Duration.between(now, pause.until).toMillis() / MILLISECONDS_PER_SECOND}"
        }
        retryAfter?.let(::parseSeconds)?.let { duration ->
            current[sender] = requested.size
            requested += SenderPause(sender, requestedAt = now, until = now + duration)
        }
        return retryAfter
    }

    /** Ends all pauses that have not ended. */
    fun end() = current.clear()

    private fun parseSeconds(text: String): Duration? = text.takeIf { SECONDS.matches(it) }
        ?.let { Duration.ofMillis((it.toDouble() * MILLISECONDS_PER_SECOND).toLong()) }
        ?.takeIf { it > Duration.ZERO }
}

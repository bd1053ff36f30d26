package comfreypath.router.telemetry

import java.time.Duration
import java.time.Instant
import java.time.InstantSource

private const val INTERVAL_SECONDS = 1L
private const val MAX_KINDS = 256

/**
 * Logs events that clients can cause at any rate: at most one line a second for each kind of an event. The line has the
 * number of events of that kind since the line before.
 *
 * @property write writes a line
 */
class ThrottledLog(
    private val clock: InstantSource,
    private val write: (event: String, fields: List<Pair<String, Any?>>) -> Unit,
) {
    private class Kind(var loggedAt: Instant = Instant.MIN, var count: Int = 0)

    /** The number of kinds that are kept. */
    internal val kindCount: Int get() = kinds.size

    private val kinds = HashMap<Pair<String, String>, Kind>()

    /** Records [event] of [kind], one of a few that clients do not choose, with [fields] of the latest one. */
    fun record(event: String, kind: String, vararg fields: Pair<String, Any?>) {
        val key = event to kind
        val known = kinds[key] ?: Kind().also { if (kinds.size < MAX_KINDS) kinds[key] = it }
        known.count += 1
        val now = clock.instant()
        if (now.minus(INTERVAL) >= known.loggedAt) {
            write(event, listOf("count" to known.count) + fields)
            known.loggedAt = now
            known.count = 0
        }
    }

    private companion object {
        val INTERVAL: Duration = Duration.ofSeconds(INTERVAL_SECONDS)
    }
}

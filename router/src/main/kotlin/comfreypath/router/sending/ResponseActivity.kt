package comfreypath.router.sending

import java.time.Duration
import java.time.Instant

/**
 * The connection on which a request was sent.
 *
 * @property localPort the router's port; null if the connection had closed
 * @property requestNumber 1 for the first request on the connection
 */
data class ConnectionUse(val localPort: Int?, val requestNumber: Int)

/**
 * Tracks since when an attempt has been waiting for its endpoint.
 *
 * @property onHeard called with the length of the wait whenever a part of the response has arrived
 */
class ResponseActivity(private val now: () -> Instant, private val onHeard: (Duration) -> Unit) {
    /** Since when the endpoint has been silent; null while nothing is awaited from it. */
    var awaitingSince: Instant? = null
        private set

    /** The connection on which the request was sent; null before that. */
    var connection: ConnectionUse? = null

    /** Records that the next part of the response is awaited from now on. */
    fun recordAwaiting() {
        awaitingSince = awaitingSince ?: now()
    }

    /** Records that the awaited part has arrived. */
    fun recordHeard() {
        awaitingSince?.let { onHeard(Duration.between(it, now())) }
        awaitingSince = null
    }
}

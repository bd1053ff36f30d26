package comfreypath.router.request

import comfreypath.coordination.overload.InProgressRequests
import java.time.Duration

private const val MIN_RETRY_MILLISECONDS = 1_000L
private const val RETRY_SPREAD_MILLISECONDS = 1_000.0

/**
 * Refuses requests while too many are in progress, in all or of one team. Each may take a connection to an endpoint.
 *
 * @param maxRequests the maximum number of requests in progress
 */
class InProgressFilter(
    private val maxRequests: () -> Int,
    private val refuse: suspend (CallerExchange, Refusal) -> Unit,
) {
    private var requests = InProgressRequests()

    /** Passes on the requests for which there is room. */
    suspend fun filter(exchange: CallerExchange, next: Stage) {
        val team = exchange.team
        if (requests.admits(team, maxRequests())) {
            requests = requests.begun(team)
            try {
                next(exchange)
            } finally {
                requests = requests.ended(team)
            }
        } else {
            refuse(exchange, Refusal(RefusalCode.OVERLOADED, "too many requests are in progress", retryAfter(exchange)))
        }
    }

    private fun retryAfter(exchange: CallerExchange): Duration =
        Duration.ofMillis(MIN_RETRY_MILLISECONDS + (exchange.request.jitter * RETRY_SPREAD_MILLISECONDS).toLong())
}

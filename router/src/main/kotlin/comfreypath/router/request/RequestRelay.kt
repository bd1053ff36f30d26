package comfreypath.router.request

import kotlinx.coroutines.async

/** Offers requests to endpoints until one has answered. */
class RequestRelay(private val parts: RelayDependencies) {
    /** Relays the request; a stream is passed on at once, every other answer is returned. */
    suspend fun relay(exchange: CallerExchange): RelayResult {
        val attempts = AttemptLoop(parts, exchange)
        return if (exchange.route.repeatable || exchange.route.streaming) attempts.run() else runToTheEnd(attempts)
    }

    /** Lets an attempt that may not be repeated run to its end even when the caller leaves. */
    private suspend fun runToTheEnd(attempts: AttemptLoop): RelayResult {
        val running = parts.context.scope.async { attempts.run() }
        try {
            return running.await()
        } finally {
            attempts.callerWaits = false
        }
    }
}

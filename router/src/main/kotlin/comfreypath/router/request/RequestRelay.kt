package comfreypath.router.request

import kotlinx.coroutines.async

/** Relays requests to endpoints. */
class RequestRelay(private val dependencies: RelayDependencies) {
    /** Relays the request. Streams go to the caller as they arrive; every other response is returned. */
    suspend fun relay(exchange: CallerExchange): RelayResult {
        val attempts = AttemptLoop(dependencies, exchange)
        return if (exchange.route.repeatable || exchange.route.streaming) attempts.run() else runToCompletion(attempts)
    }

    /** Makes an attempt that must not be repeated and completes it even if the caller disconnects. */
    private suspend fun runToCompletion(attempts: AttemptLoop): RelayResult {
        val pending = dependencies.context.scope.async { attempts.run() }
        try {
            return pending.await()
        } finally {
            attempts.callerConnected = false
        }
    }
}

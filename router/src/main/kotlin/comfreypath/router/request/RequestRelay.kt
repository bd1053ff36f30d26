package comfreypath.router.request

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import java.io.IOException

/** Relays requests to endpoints. */
class RequestRelay(private val dependencies: RelayDependencies) {
    /** Relays the request. Streams go to the caller as they arrive; every other response is returned. */
    suspend fun relay(exchange: CallerExchange): RelayResult {
        val attempts = AttemptLoop(dependencies, exchange)
        return runCatching {
            if (exchange.route.repeatable || exchange.route.streaming) attempts.run() else runToCompletion(attempts)
        }.getOrElse { failedRelay(exchange, it) }
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

    /** Rethrows [failure] if the caller has left; otherwise the caller learns that the request may have run. */
    private fun failedRelay(exchange: CallerExchange, failure: Throwable): RelayResult {
        if (failure is CancellationException || failure is IOException || failure is Error) {
            throw failure
        }
        dependencies.context.log.record(
            "relay_failed",
            "request" to exchange.request.id,
            "error" to failure.toString(),
            "at" to failure.stackTrace.firstOrNull(),
            "answerBegun" to exchange.writer.started,
        )
        return if (exchange.writer.started) {
            RelayResult.Streamed(complete = false)
        } else {
            RelayResult.Refused(Refusal(RefusalCode.ANSWER_LOST, "the router failed; the request may have run"))
        }
    }
}

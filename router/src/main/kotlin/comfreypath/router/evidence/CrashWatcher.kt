package comfreypath.router.evidence

import com.github.michaelbull.result.fold
import comfreypath.coordination.evidence.Crash
import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.RouterContext
import comfreypath.router.sending.EndpointTracker
import comfreypath.transport.Address
import comfreypath.transport.HttpConnector
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Instant

/** Time after a loss in which a server that has only reset some connections responds to other requests. */
private const val CONFIRMATION_DELAY_MILLISECONDS = 100L
private const val MAX_PARTS_PER_CRASH = 256
private const val MAX_LOGGED_PARTS = 16
private const val HEX_RADIX = 16

/** The text of a part's ID in logs. */
internal fun partText(part: Long): String = part.toULong().toString(HEX_RADIX)

/**
 * Tells crashes of endpoints from lost connections.
 *
 * A crashed endpoint loses the requests in flight and then refuses connections, in contrast to a server that resets
 * some connections, one behind a cut link, or one that is draining.
 *
 * @property isDraining whether an endpoint has announced that it will stop
 * @property onCrash called with each crash and the parts of the requests lost at it
 */
internal class CrashWatcher(
    private val context: RouterContext,
    private val connector: HttpConnector,
    private val endpoints: EndpointTracker,
    private val isDraining: (EndpointName) -> Boolean,
    private val onCrash: (Crash, Set<Long>) -> Unit,
) {
    private val losses = HashMap<EndpointName, Loss>()

    private class Loss(val at: Instant) {
        val parts = LinkedHashSet<Long>()
        var requests = 0
    }

    /** Notes that the connection to [endpoint] was lost before a response to a request with [parts] began. */
    fun connectionLost(endpoint: Endpoint, parts: List<Long>) {
        val known = losses[endpoint.name]
        val loss = known ?: Loss(context.now()).also { losses[endpoint.name] = it }
        loss.requests += 1
        loss.parts += parts.take(MAX_PARTS_PER_CRASH - loss.parts.size)
        if (known == null) {
            context.scope.launch { confirm(endpoint, loss) }
        }
    }

    private suspend fun confirm(endpoint: Endpoint, loss: Loss) {
        delay(CONFIRMATION_DELAY_MILLISECONDS)
        val contradiction = contradiction(endpoint, loss)
        losses.remove(endpoint.name)
        context.log.record(
            if (contradiction == null) "endpoint_crash_observed" else "endpoint_crash_doubted",
            "endpoint" to endpoint.name,
            "requests" to loss.requests,
            "parts" to loss.parts.take(MAX_LOGGED_PARTS).joinToString(",", transform = ::partText),
            "at" to loss.at,
            "reason" to contradiction,
        )
        if (contradiction == null) {
            context.metrics.crashesObserved.inc()
            val key = InFlight.key(endpoints.entry(endpoint.name).nameHash)
            onCrash(Crash(key, loss.at, seenHere = true), loss.parts)
        }
    }

    /** Why the loss is probably not a crash; null if it is one. */
    private suspend fun contradiction(endpoint: Endpoint, loss: Loss): String? = when {
        isDraining(endpoint.name) -> "draining"
        !endpoints.announcements.of(endpoint).allowsRequests -> "pauses or leaves"
        endpoints.entry(endpoint.name).respondedSince(loss.at) -> "responds"
        else -> connector.connect(Address(endpoint.host, endpoint.port), context.options.timeouts.connect).fold(
            success = { connection ->
                connection.close()
                "accepts connections"
            },
            failure = { if (it.refused) null else "unreachable" },
        )
    }
}

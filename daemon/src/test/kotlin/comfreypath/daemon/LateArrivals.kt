package comfreypath.daemon

import java.time.Duration
import java.time.Instant

/** How long after a refusal with a pause requests that were already on their way may arrive. */
internal val PAUSE_ALLOWANCE: Duration = Duration.ofMillis(500)

/** A router and an endpoint. */
internal data class RouterEndpoint(val router: String, val endpoint: String)

/**
 * A request that reached an endpoint.
 *
 * @property sentAt when its caller sent it to the router
 */
internal data class Arrival(val pair: RouterEndpoint, val attempt: String, val sentAt: Instant, val receivedAt: Instant)

/** A pause that an endpoint asked a router for. */
internal data class Pause(val pair: RouterEndpoint, val requestedAt: Instant, val until: Instant)

/** The requests that were sent after their router knew, from the moment in [knownAt], that the endpoint leaves. */
internal fun List<Arrival>.afterAnnouncement(knownAt: Map<RouterEndpoint, Instant>): List<Arrival> =
    filter { arrival -> knownAt[arrival.pair]?.let { arrival.sentAt > it } == true }

/** Those of [afterAnnouncement] that were sent more than [drain] later. */
internal fun List<Arrival>.late(knownAt: Map<RouterEndpoint, Instant>, drain: Duration): List<Arrival> =
    afterAnnouncement(knownAt.mapValues { it.value + drain })

/** The requests of the pause's router that reached its endpoint from [PAUSE_ALLOWANCE] after its begin to its end. */
internal fun List<Arrival>.within(pause: Pause): List<Arrival> = filter {
    it.pair == pause.pair && it.receivedAt >= pause.requestedAt + PAUSE_ALLOWANCE && it.receivedAt < pause.until
}

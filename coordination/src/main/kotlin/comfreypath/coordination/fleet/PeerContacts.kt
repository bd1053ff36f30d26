package comfreypath.coordination.fleet

import comfreypath.coordination.model.InstanceName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.time.Duration
import java.time.Instant

private const val TIMEOUT_MILLISECONDS = 400L

/**
 * A probe of a peer, or the response to one. Serial names are short to keep messages small.
 *
 * @property from sender
 * @property stamp when the probe was sent; the response carries the same
 * @property state the sender's state in a response; null in a probe
 */
@Serializable
data class ProbeMessage(
    @SerialName("n") val from: InstanceName,
    @SerialName("t") val stamp: StatusStamp,
    @SerialName("a") val state: ProbedState? = null,
)

/**
 * What a router says of itself when it is probed, see [PeerStatus].
 *
 * @property storeResponseAgeMilliseconds time since the store last responded to it; null if it never has
 */
@Serializable
data class ProbedState(
    @SerialName("s") val storeResponseAgeMilliseconds: Long? = null,
    @SerialName("l") val draining: Boolean = false,
)

/**
 * When this router last heard from its peers, and which of them owe a response.
 *
 * @property heardAt the time of the latest message of each peer; a response counts from the time of its probe
 * @property states what the peers said of themselves in their latest responses, with the times of the probes
 * @property probes the probes without a response
 */
data class PeerContacts(
    private val heardAt: PersistentMap<InstanceName, Instant> = persistentMapOf(),
    private val states: PersistentMap<InstanceName, DatedState> = persistentMapOf(),
    private val probes: PersistentMap<InstanceName, OpenProbe> = persistentMapOf(),
) {
    /** A peer's [state] at [at] or later. */
    data class DatedState(val state: ProbedState, val at: Instant)

    /** A peer has been probed since [firstAt], last at [lastAt], and nothing has been heard from it. */
    data class OpenProbe(val firstAt: Instant, val lastAt: Instant)

    /** Records that [peer] was live at [at]. */
    fun heard(peer: InstanceName, at: Instant): PeerContacts = copy(
        heardAt = if (heardAt[peer]?.let { it >= at } == true) heardAt else heardAt.put(peer, at),
        probes = if (probes[peer]?.let { it.firstAt <= at } == true) probes.remove(peer) else probes,
    )

    /** Records that [peer] said that it was in [state], in response to a probe that was sent at [at]. */
    fun responded(peer: InstanceName, state: ProbedState, at: Instant): PeerContacts =
        heard(peer, at).copy(states = states.put(peer, DatedState(state, at)))

    /** Records that [peer] is probed. */
    internal fun probed(peer: InstanceName, now: Instant): PeerContacts =
        copy(probes = probes.put(peer, OpenProbe(firstAt = probes[peer]?.firstAt ?: now, lastAt = now)))

    /** Forgets all peers but [known]. */
    fun retain(known: Set<InstanceName>): PeerContacts = copy(
        heardAt = heardAt.filterKeys { it in known }.toPersistentMap(),
        states = states.filterKeys { it in known }.toPersistentMap(),
        probes = probes.filterKeys { it in known }.toPersistentMap(),
    )

    /** The time of the latest message of [peer]; null if there was none. */
    fun lastHeard(peer: Peer): Instant? = listOfNotNull(peer.receivedAt, heardAt[peer.address.name]).maxOrNull()

    /** The latest that [peer] has said of itself; null if it has said nothing. */
    internal fun stateOf(peer: Peer): ProbedState? {
        val response = states[peer.address.name]?.takeIf { it.at > (peer.receivedAt ?: Instant.MIN) }
        return response?.state ?: peer.status?.let { ProbedState(it.storeResponseAgeMilliseconds, it.draining) }
    }

    /** True if [peer] is to be probed now: for the first time, or once more since the last probe may be lost. */
    internal fun isProbeDue(peer: InstanceName, now: Instant): Boolean =
        probes[peer]?.let { now >= it.lastAt + timeout.dividedBy(2) } ?: true

    /** The peers that have not responded to probes in time. */
    fun suspects(now: Instant): Set<InstanceName> =
        if (probes.isEmpty()) emptySet() else probes.filterValues { now >= it.firstAt + timeout }.keys

    private companion object {
        /** Covers the wait for the tick at which datagrams are read, at both routers, and the loss of one probe. */
        val timeout: Duration = Duration.ofMillis(TIMEOUT_MILLISECONDS)
    }
}

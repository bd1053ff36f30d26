package comfreypath.coordination.fleet

import comfreypath.coordination.evidence.PartReport
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import comfreypath.coordination.rollout.RolloutReports
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Status message that routers send each other at short intervals. Serial names are short to keep messages small.
 *
 * @property from sender
 * @property stamp incarnation and time at which the message was written
 * @property echo stamp of the receiver's latest message that the sender has received; this message was written after
 * that one, however long either took to arrive
 * @property draining true once the sender has begun to stop; it still accepts requests for a short time
 * @property ready true while the platform may send callers to the sender
 * @property storeResponseAgeMilliseconds time since the store's latest response to the sender, 0 if no later call has
 * failed; null before the first response
 * @property configuration freshness of the sender's configuration; null if it has none
 * @property digests digests of the sender's other objects, by the code of the object kind
 * @property inFlight requests that the sender has in flight
 * @property rollouts the sender's reports on open rollouts; null if there are none
 * @property replyRequested true if the receiver is to reply at once with its own status
 * @property partReports prompt parts that may crash endpoints
 * @property storeFailingMilliseconds time for which the sender's calls to the store have failed without a response, 0
 * after a response
 * @property storeOutageEndedMilliseconds time since the last failure of that kind of a second or more ended; null if it
 * was long ago
 * @property departures endpoints that have left the sender's list lately; null if there are none
 * @property badVersions keys of the versions that the sender knows to be bad, from the hashes of service and version
 */
@Serializable
data class PeerStatus(
    @SerialName("n") val from: InstanceName,
    @SerialName("z") val dataCentre: DataCentreName,
    @SerialName("t") val stamp: StatusStamp,
    @SerialName("e") val echo: StatusStamp? = null,
    @SerialName("l") val draining: Boolean = false,
    @SerialName("r") val ready: Boolean = false,
    @SerialName("s") val storeResponseAgeMilliseconds: Long? = null,
    @SerialName("c") val configuration: ConfigurationFreshness? = null,
    @SerialName("k") val digests: Map<String, KindDigest> = emptyMap(),
    @SerialName("f") val inFlight: InFlight = InFlight(),
    @SerialName("o") val rollouts: RolloutReports? = null,
    @SerialName("q") val replyRequested: Boolean = false,
    @SerialName("p") val partReports: List<PartReport> = emptyList(),
    @SerialName("u") val storeFailingMilliseconds: Long = 0,
    @SerialName("v") val storeOutageEndedMilliseconds: Long? = null,
    @SerialName("d") val departures: Departures? = null,
    @SerialName("b") val badVersions: List<Int> = emptyList(),
)

/**
 * Identifies a status message and orders the messages of one process.
 *
 * @property incarnation number that differs for each start of the process
 * @property milliseconds reading of the process's steady clock
 */
@Serializable(with = StatusStampSerializer::class)
data class StatusStamp(val incarnation: Int, val milliseconds: Long)

/**
 * Freshness confirmation: the store's newest configuration was [version] some time ago.
 *
 * @property ageMilliseconds time from the confirmation by the store to the writing of the status message
 */
@Serializable
data class ConfigurationFreshness(@SerialName("v") val version: Long, @SerialName("a") val ageMilliseconds: Long)

/**
 * Digest of a router's objects of one kind.
 *
 * @property revision store revision that the objects correspond to
 * @property hash hash of the objects' names and revisions
 */
@Serializable(with = KindDigestSerializer::class)
data class KindDigest(val revision: Long, val hash: Int) {
    /** True if [other] is of later objects that differ from these. */
    fun isBehind(other: KindDigest): Boolean = other.revision > revision && other.hash != hash

    companion object {
        /** The digest at [revision] of objects that were last changed at [revisions], by name. */
        fun of(revision: Long, revisions: Map<String, Long>) =
            KindDigest(revision, hash = foldToInt(revisions.entries.sumOf { (name, at) -> mix(hashOf(name), at) }))

        private fun foldToInt(hash: Long): Int = (hash xor (hash ushr Int.SIZE_BITS)).toInt()
    }
}

package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What one router tells another at short intervals. The serial names are short because there are many.
 *
 * @property from the sender
 * @property stamp when it was written
 * @property echo the stamp of the receiver's latest status that the sender has; it proves that this status was written
 * after that one, whatever happened to either on the way
 * @property draining true once the sender takes no new requests
 * @property ready true while the sender takes requests
 * @property storeResponseAgeMilliseconds how long ago the store answered the sender; null if it never did
 * @property configuration what the sender knows of the configuration; null if it knows none
 * @property digests what the sender knows of the other kinds of object, by the kind's code
 * @property inFlight the sender's requests at each endpoint where it has some
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
)

/**
 * Tells the statuses of one process apart.
 *
 * @property incarnation differs for each start of a process
 * @property milliseconds on the process's steady clock
 */
@Serializable(with = StatusStampSerializer::class)
data class StatusStamp(val incarnation: Int, val milliseconds: Long)

/**
 * That a configuration was the newest one a while ago.
 *
 * @property ageMilliseconds how long before the status was written the store said so
 */
@Serializable
data class ConfigurationFreshness(@SerialName("v") val version: Long, @SerialName("a") val ageMilliseconds: Long)

/**
 * What a router knows of the objects of one kind.
 *
 * @property revision the store's revision at which it held
 * @property hash of the objects' names and revisions
 */
@Serializable(with = KindDigestSerializer::class)
data class KindDigest(val revision: Long, val hash: Int)

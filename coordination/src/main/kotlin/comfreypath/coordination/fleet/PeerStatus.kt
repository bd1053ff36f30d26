package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/**
 * What one router tells another at short intervals. The serial names are short because there are many.
 *
 * @property from the sender
 * @property stamp when it was written
 * @property echo the stamp of the receiver's latest status that the sender has; it proves that this status was written
 * after that one, whatever happened to either on the way
 * @property leaving true once the sender takes no new requests
 * @property ready true while the sender takes requests
 * @property storeAnsweredMilliseconds how long ago the store answered the sender; null if it never did
 * @property configuration what the sender knows of the configuration; null if it knows none
 * @property digests what the sender knows of the other kinds of object, by the kind's code
 * @property inFlight the sender's requests at each endpoint where it has some, by the endpoint's name
 */
@Serializable
data class PeerStatus(
    @SerialName("n") val from: InstanceName,
    @SerialName("z") val dataCentre: DataCentreName,
    @SerialName("t") val stamp: StatusStamp,
    @SerialName("e") val echo: StatusStamp? = null,
    @SerialName("l") val leaving: Boolean = false,
    @SerialName("r") val ready: Boolean = false,
    @SerialName("s") val storeAnsweredMilliseconds: Long? = null,
    @SerialName("c") val configuration: ConfigurationProof? = null,
    @SerialName("k") val digests: Map<String, KindDigest> = emptyMap(),
    @SerialName("f") val inFlight: Map<String, Int> = emptyMap(),
)

/**
 * Tells the statuses of one process apart.
 *
 * @property incarnation differs for each start of a process
 * @property milliseconds on the process's steady clock
 */
@Serializable
data class StatusStamp(@SerialName("i") val incarnation: Int, @SerialName("m") val milliseconds: Long)

/**
 * That a configuration was the newest one a while ago.
 *
 * @property ageMilliseconds how long before the status was written the store said so
 */
@Serializable
data class ConfigurationProof(@SerialName("v") val version: Long, @SerialName("a") val ageMilliseconds: Long)

/**
 * What a router knows of the objects of one kind.
 *
 * @property revision the store's revision at which it held
 * @property hash of the objects' names and revisions
 */
@Serializable(with = KindDigestSerializer::class)
data class KindDigest(val revision: Long, val hash: Int)

/** Writes a digest as one short text. */
internal object KindDigestSerializer : KSerializer<KindDigest> {
    private const val BASE = 36

    override val descriptor = PrimitiveSerialDescriptor("KindDigest", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: KindDigest) =
        encoder.encodeString("${value.revision}:${value.hash.toString(BASE)}")

    override fun deserialize(decoder: Decoder): KindDigest {
        val text = decoder.decodeString()
        val revision = text.substringBefore(':').toLongOrNull()
        val hash = text.substringAfter(':', "").toIntOrNull(BASE)
        if (revision == null || hash == null) {
            throw SerializationException("a digest has the form REVISION:HASH")
        }
        return KindDigest(revision, hash)
    }
}

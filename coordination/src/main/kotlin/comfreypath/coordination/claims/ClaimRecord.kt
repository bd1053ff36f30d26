package comfreypath.coordination.claims

import comfreypath.coordination.model.InstantSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.time.Instant

/** Identifies one arrival of a request at a router; only the attempt that holds the claim may send the request. */
@Serializable
@JvmInline
value class AttemptId(val text: String) {
    override fun toString(): String = text
}

/**
 * Stored claim on a request that must run at most once.
 *
 * @property attempt attempt that may send the request
 * @property fingerprint hash of the request, to distinguish a repetition from another request with the same key
 * @property released true once the attempt is known never to have been sent, so that another may claim the key
 * @property response recorded response; null while the request may still be running, or if its response was lost
 */
@Serializable
data class ClaimRecord(
    @SerialName("a") val attempt: AttemptId,
    @SerialName("f") val fingerprint: Long,
    @SerialName("t")
    @Serializable(with = InstantSerializer::class)
    val claimedAt: Instant,
    @SerialName("r") val released: Boolean = false,
    @SerialName("o") val response: RecordedResponse? = null,
)

/**
 * Response to a request that ran, as it is returned for repetitions of the request.
 *
 * @property body null if it was too long to be recorded
 */
@Serializable
data class RecordedResponse(
    @SerialName("s") val status: Int,
    @SerialName("c") val contentType: String = "application/json",
    @SerialName("b") val body: String? = null,
)

/** Content of a shard's object in the store. */
@Serializable
data class ClaimShardContent(@SerialName("claims") val records: Map<String, ClaimRecord> = emptyMap())

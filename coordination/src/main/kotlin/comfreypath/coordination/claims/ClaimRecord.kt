package comfreypath.coordination.claims

import comfreypath.coordination.model.InstantSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.time.Instant

/** The identity of one receipt of a request; only the attempt that holds the claim may send it. */
@Serializable
@JvmInline
value class AttemptId(val text: String) {
    override fun toString(): String = text
}

/**
 * What the platform's store keeps of a request that must run at most once.
 *
 * @property attempt the receipt that may send the request
 * @property fingerprint a hash of the request, to tell a repeat from another request under the same key
 * @property released true once the attempt is known never to have been sent, so that another may claim the key
 * @property response the recorded response; null while the request may still run or its answer was lost
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
 * The answer of a request that ran.
 *
 * @property body null when it was too long to keep
 */
@Serializable
data class RecordedResponse(
    @SerialName("s") val status: Int,
    @SerialName("c") val contentType: String = "application/json",
    @SerialName("b") val body: String? = null,
)

/** The content of one shard's object in the store. */
@Serializable
data class ClaimShardContent(@SerialName("claims") val records: Map<String, ClaimRecord> = emptyMap())

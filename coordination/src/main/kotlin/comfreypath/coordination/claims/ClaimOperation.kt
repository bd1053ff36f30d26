package comfreypath.coordination.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An operation on a claim, submitted to the shard of its key. */
@Serializable
sealed interface ClaimOperation {
    val key: ClaimKey
    val attempt: AttemptId

    /** Claims the key, to be allowed to send the request. */
    @Serializable
    @SerialName("claim")
    data class Claim(
        override val key: ClaimKey,
        override val attempt: AttemptId,
        val fingerprint: Long,
    ) : ClaimOperation

    /** Records the response to a request that ran. */
    @Serializable
    @SerialName("record")
    data class Record(
        override val key: ClaimKey,
        override val attempt: AttemptId,
        @SerialName("answer") val response: RecordedResponse,
    ) : ClaimOperation

    /** Releases the claim; only for an attempt that is known never to have been sent. */
    @Serializable
    @SerialName("release")
    data class Release(override val key: ClaimKey, override val attempt: AttemptId) : ClaimOperation
}

/** Result of a [ClaimOperation]. */
@Serializable
sealed interface ClaimResult {
    /** The attempt holds the claim and may send the request once; no other attempt may. */
    @Serializable
    @SerialName("granted")
    data object Granted : ClaimResult

    /** The response or the release is stored, or needs no write. */
    @Serializable
    @SerialName("stored")
    data object Stored : ClaimResult

    /** Another attempt holds the claim; [response] is its recorded response, if there is one. */
    @Serializable
    @SerialName("taken")
    data class Taken(val fingerprint: Long, @SerialName("answer") val response: RecordedResponse? = null) : ClaimResult

    /** The operation could not be completed; a request whose claim failed this way must not be sent. */
    @Serializable
    @SerialName("unavailable")
    data class Unavailable(val reason: String) : ClaimResult
}

package comfreypath.coordination.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A change to a claim that a router asks of the shard's holder. */
@Serializable
sealed interface ClaimOperation {
    val key: ClaimKey
    val attempt: AttemptId

    /** Asks for the right to send the request. */
    @Serializable
    @SerialName("claim")
    data class Claim(
        override val key: ClaimKey,
        override val attempt: AttemptId,
        val fingerprint: Long,
    ) : ClaimOperation

    /** Records the answer of a request that ran. */
    @Serializable
    @SerialName("record")
    data class Record(
        override val key: ClaimKey,
        override val attempt: AttemptId,
        @SerialName("answer") val response: RecordedResponse,
    ) : ClaimOperation

    /** Gives the right back; only for an attempt that is known never to have been sent. */
    @Serializable
    @SerialName("release")
    data class Release(override val key: ClaimKey, override val attempt: AttemptId) : ClaimOperation
}

/** What came of a [ClaimOperation]. */
@Serializable
sealed interface ClaimResult {
    /** The attempt, and no other, may send the request once. */
    @Serializable
    @SerialName("granted")
    data object Granted : ClaimResult

    /** The answer or the release is in the store. */
    @Serializable
    @SerialName("stored")
    data object Stored : ClaimResult

    /** Another attempt holds the claim; its answer is given once it is known. */
    @Serializable
    @SerialName("taken")
    data class Taken(val fingerprint: Long, @SerialName("answer") val response: RecordedResponse? = null) : ClaimResult

    /** Nothing could be decided; the attempt must not be sent. */
    @Serializable
    @SerialName("unavailable")
    data class Unavailable(val reason: String) : ClaimResult
}

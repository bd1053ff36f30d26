package comfreypath.openai

import kotlinx.serialization.Serializable

/** The response body of every refusal. */
@Serializable
data class ErrorBody(val error: ErrorDetail)

/**
 * The details of a refusal.
 *
 * @property code stable and machine-readable
 * @property message one sentence for humans
 * @property verdict `notRun` or `mayHaveRun`
 * @property retryAfterSeconds the time after which a retry may succeed; null if a retry does not help
 */
@Serializable
data class ErrorDetail(
    val code: String,
    val message: String,
    val verdict: String,
    val retryAfterSeconds: Long? = null,
    val requestId: String? = null,
)

package comfreypath.openai

import kotlinx.serialization.Serializable

/** The body of every refusal. */
@Serializable
data class ErrorBody(val error: ErrorDetail)

/**
 * What a caller is told of a refusal.
 *
 * @property code stable and machine-readable
 * @property message one sentence for a person
 * @property verdict `notRun` or `mayHaveRun`
 * @property retryAfterSeconds when trying again may help; null when it does not
 */
@Serializable
data class ErrorDetail(
    val code: String,
    val message: String,
    val verdict: String,
    val retryAfterSeconds: Long? = null,
    val requestId: String? = null,
)

package comfreypath.coordination.routing

import kotlinx.collections.immutable.ImmutableList

/** Limits the work and memory for one request; real prompts have a few parts. */
private const val MAX_SHARED_PARTS = 64

/**
 * The prompt of a request to a model engine, and the work that it asks for.
 *
 * @property model the name of the model
 * @property promptTokens the length of the prompt in tokens
 * @property maxOutputTokens the maximum number of tokens to generate
 * @property parts the prompt's parts in order; the last one is private to the request or its session
 * @property expectedOutputTokens the caller's estimate of the number of tokens to generate; null if unknown
 */
data class Prompt(
    val model: String,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val parts: ImmutableList<PromptPart>,
    val expectedOutputTokens: Int?,
) {
    /** The distinct IDs of the parts that other requests may share, which excludes the last part. */
    val sharedPartIds: List<Long>
        get() = parts.dropLast(1).take(MAX_SHARED_PARTS).map { it.prefixId }.distinct()
}

/**
 * A part of a prompt.
 *
 * @property prefixId the ID of the prompt up to the end of this part; prompts with equal IDs share the text up to there
 * @property tokens the length of this part in tokens
 */
data class PromptPart(val prefixId: Long, val tokens: Int)

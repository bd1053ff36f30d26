package comfreypath.coordination.routing

import kotlinx.collections.immutable.ImmutableList

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
)

/** A part of a prompt. Two parts with the same [identity] have the same text and follow the same preceding parts. */
data class PromptPart(val identity: Long, val tokens: Int)

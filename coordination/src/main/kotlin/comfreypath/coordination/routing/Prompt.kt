package comfreypath.coordination.routing

import kotlinx.collections.immutable.ImmutableList

/**
 * What a request asks of a model engine.
 *
 * @property model the name of the model
 * @property promptTokens the tokens to read
 * @property maxOutputTokens the most tokens to generate
 * @property parts the prompt's parts in order; the last one belongs to the request or its session alone
 * @property expectedOutputTokens the caller's estimate of the tokens to generate; null if there is none
 */
data class Prompt(
    val model: String,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val parts: ImmutableList<PromptPart>,
    val expectedOutputTokens: Int?,
)

/** A part of a prompt: equal [identity] means equal text after equal parts. */
data class PromptPart(val identity: Long, val tokens: Int)

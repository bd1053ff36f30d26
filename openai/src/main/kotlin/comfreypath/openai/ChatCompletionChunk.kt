package comfreypath.openai

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One piece of a streamed completion.
 *
 * @property id the identity of the request that the piece answers
 * @property usage given with the last piece
 */
@Serializable
data class ChatCompletionChunk(
    val id: String,
    @SerialName("object") val type: String = "chat.completion.chunk",
    val created: Long = 0,
    val model: String,
    val choices: List<ChunkChoice>,
    val usage: Usage? = null,
)

/** What a piece adds to the answer; the finish reason comes with the last piece. */
@Serializable
data class ChunkChoice(
    val index: Int = 0,
    val delta: ChunkDelta,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** The text that a piece adds. */
@Serializable
data class ChunkDelta(val content: String = "")

/** The tokens that a completion used. */
@Serializable
data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("prompt_tokens_details") val promptDetails: PromptDetails = PromptDetails(),
)

/** The prompt's tokens that were found in the prefix cache. */
@Serializable
data class PromptDetails(@SerialName("cached_tokens") val cachedTokens: Int = 0)

/** A whole completion. */
@Serializable
data class ChatCompletion(
    val id: String,
    @SerialName("object") val type: String = "chat.completion",
    val created: Long = 0,
    val model: String,
    val choices: List<CompletionChoice>,
    val usage: Usage? = null,
)

/** The answer of a whole completion. */
@Serializable
data class CompletionChoice(
    val index: Int = 0,
    val message: ChatMessage,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** The models that a caller may name. */
@Serializable
data class ModelList(@SerialName("object") val type: String = "list", val data: List<ModelEntry>)

/** One model. */
@Serializable
data class ModelEntry(val id: String, @SerialName("object") val type: String = "model")

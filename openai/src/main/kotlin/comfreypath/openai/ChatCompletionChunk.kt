package comfreypath.openai

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One chunk of a streamed completion.
 *
 * @property id the ID of the request that the chunk responds to
 * @property usage present only in the last chunk
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

/** What a chunk adds to the response. Only the last chunk has a finish reason. */
@Serializable
data class ChunkChoice(
    val index: Int = 0,
    val delta: ChunkDelta,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** The text that a chunk adds. */
@Serializable
data class ChunkDelta(val content: String = "")

/** The number of tokens that a completion used. */
@Serializable
data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("prompt_tokens_details") val promptDetails: PromptDetails = PromptDetails(),
)

/** The number of prompt tokens that were found in the prefix cache. */
@Serializable
data class PromptDetails(@SerialName("cached_tokens") val cachedTokens: Int = 0)

/** The response to a request that does not stream. */
@Serializable
data class ChatCompletion(
    val id: String,
    @SerialName("object") val type: String = "chat.completion",
    val created: Long = 0,
    val model: String,
    val choices: List<CompletionChoice>,
    val usage: Usage? = null,
)

/** The message of a completion that is not streamed. */
@Serializable
data class CompletionChoice(
    val index: Int = 0,
    val message: ChatMessage,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** The models that a caller may request. */
@Serializable
data class ModelList(@SerialName("object") val type: String = "list", val data: List<ModelEntry>)

/** A model; [id] is the name by which callers request it. */
@Serializable
data class ModelEntry(val id: String, @SerialName("object") val type: String = "model")

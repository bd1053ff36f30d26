package comfreypath.openai

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

private const val DEFAULT_MAX_TOKENS = 64

/**
 * A request for a chat completion, as in the OpenAI API.
 *
 * @property promptCacheKey identifies a chat across its turns; null if the caller sends none
 */
@Serializable
data class ChatCompletionRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int = DEFAULT_MAX_TOKENS,
    @SerialName("prompt_cache_key") val promptCacheKey: String? = null,
)

/** One message of a chat. */
@Serializable
data class ChatMessage(val role: String, val content: String)

package comfreypath.standins

import comfreypath.openai.ChatCompletionChunk
import comfreypath.openai.ChatCompletionRequest
import comfreypath.openai.ChunkChoice
import comfreypath.openai.ChunkDelta
import comfreypath.openai.PromptDetails
import comfreypath.openai.Usage

private const val CHARACTERS_PER_TOKEN = 4
private const val HEXADECIMAL_RADIX = 16

/** Generates the responses of an engine stand-in. The text depends on the request, which reveals mixed-up responses. */
object EngineResponse {
    /** The text of the chunk at [index] of the response to [request]. */
    fun chunkText(request: ChatCompletionRequest, index: Int): String {
        val prompt = request.messages.lastOrNull()?.content.orEmpty()
        return "${Integer.toUnsignedString(prompt.hashCode(), HEXADECIMAL_RADIX)}-$index "
    }

    /** The whole text of the response to [request]. */
    fun text(request: ChatCompletionRequest): String =
        (0 until request.maxTokens).joinToString("") { chunkText(request, it) }

    /** The chunk at [index] of the response to [request], whose ID is [id]. The last chunk contains the usage. */
    internal fun chunk(id: String, request: ChatCompletionRequest, index: Int, cachedTokens: Int): ChatCompletionChunk {
        val last = index == request.maxTokens - 1
        val usage = Usage(promptTokens(request), request.maxTokens, PromptDetails(cachedTokens))
        val choice =
            ChunkChoice(delta = ChunkDelta(chunkText(request, index)), finishReason = if (last) "stop" else null)
        return ChatCompletionChunk(
            id = id,
            model = request.model,
            choices = listOf(choice),
            usage = usage.takeIf { last },
        )
    }

    /** The estimated number of tokens in the prompt of [request]. */
    fun promptTokens(request: ChatCompletionRequest): Int =
        request.messages.sumOf { it.content.length } / CHARACTERS_PER_TOKEN + request.messages.size
}

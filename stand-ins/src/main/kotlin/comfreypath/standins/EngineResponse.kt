package comfreypath.standins

import comfreypath.openai.ChatCompletionChunk
import comfreypath.openai.ChatCompletionRequest
import comfreypath.openai.ChunkChoice
import comfreypath.openai.ChunkDelta
import comfreypath.openai.PromptDetails
import comfreypath.openai.Usage

private const val CHARACTERS_PER_TOKEN = 4
private const val HEXADECIMAL = 16

/** The words with which an engine stand-in answers: they depend on the request, so that a crossed answer shows. */
object EngineResponse {
    /** The piece with the given number of the answer to [request]. */
    fun chunkText(request: ChatCompletionRequest, index: Int): String {
        val question = request.messages.lastOrNull()?.content.orEmpty()
        return "${Integer.toUnsignedString(question.hashCode(), HEXADECIMAL)}-$index "
    }

    /** The whole answer to [request]. */
    fun text(request: ChatCompletionRequest): String =
        (0 until request.maxTokens).joinToString("") { chunkText(request, it) }

    /** The chunk with the given number of the answer to the request [id]. */
    internal fun chunk(id: String, request: ChatCompletionRequest, index: Int, cached: Int): ChatCompletionChunk {
        val last = index == request.maxTokens - 1
        val usage = Usage(promptTokens(request), request.maxTokens, PromptDetails(cached))
        val choice =
            ChunkChoice(delta = ChunkDelta(chunkText(request, index)), finishReason = if (last) "stop" else null)
        return ChatCompletionChunk(
            id = id,
            model = request.model,
            choices = listOf(choice),
            usage = usage.takeIf { last },
        )
    }

    /** The number of tokens of the prompt. */
    fun promptTokens(request: ChatCompletionRequest): Int =
        request.messages.sumOf { it.content.length } / CHARACTERS_PER_TOKEN + request.messages.size
}

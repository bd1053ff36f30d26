package comfreypath.standins

import com.github.michaelbull.result.fold
import comfreypath.openai.ChatCompletion
import comfreypath.openai.ChatCompletionChunk
import comfreypath.openai.ChatCompletionRequest
import comfreypath.openai.ChatMessage
import comfreypath.openai.CompletionChoice
import comfreypath.openai.OpenAiHeaders
import comfreypath.openai.ServerSentEvent
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.decodeJson
import comfreypath.transport.respond
import comfreypath.transport.respondJson
import comfreypath.transport.start
import comfreypath.transport.wireJson
import io.netty.handler.codec.http.HttpResponseStatus

/** Streams the completions of an engine stand-in, from any piece on. */
internal class EngineStreams(private val batch: EngineBatch) {
    suspend fun complete(request: IncomingRequest, writer: ResponseWriter) {
        val id = request.headers.get(OpenAiHeaders.REQUEST_ID).orEmpty()
        decodeJson<ChatCompletionRequest>(request.text()).fold(
            success = { completion ->
                val generation = batch.start(id, completion)
                if (generation == null) {
                    writer.respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, emptyMap(), ByteArray(0))
                } else {
                    val last = request.headers.get(OpenAiHeaders.LAST_EVENT_ID)?.toIntOrNull() ?: -1
                    if (completion.stream) {
                        stream(generation, last + 1, writer)
                    } else {
                        whole(generation, completion, writer)
                    }
                }
            },
            failure = { writer.respond(HttpResponseStatus.BAD_REQUEST, emptyMap(), it.encodeToByteArray()) },
        )
    }

    /** Gives the whole completion as one answer. */
    private suspend fun whole(generation: Generation, completion: ChatCompletionRequest, writer: ResponseWriter) {
        var number = 0
        var last: ChatCompletionChunk? = null
        val text = StringBuilder()
        generation.readers += 1
        var chunk = generation.chunk(number)
        while (chunk != null) {
            text.append(chunk.choices.first().delta.content)
            last = chunk
            number += 1
            chunk = generation.chunk(number)
        }
        val message = ChatMessage("assistant", text.toString())
        val choice = CompletionChoice(message = message, finishReason = "stop")
        val answer = ChatCompletion(
            id = generation.id,
            model = completion.model,
            choices = listOf(choice),
            usage = last?.usage,
        )
        writer.respondJson(HttpResponseStatus.OK, answer, mapOf(OpenAiHeaders.REQUEST_ID to generation.id))
    }

    private suspend fun stream(generation: Generation, first: Int, writer: ResponseWriter) {
        val headers = mapOf("content-type" to "text/event-stream", OpenAiHeaders.REQUEST_ID to generation.id)
        writer.start(HttpResponseStatus.OK, headers)
        generation.readers += 1
        var whole = false
        try {
            sendPieces(generation, first, writer)
            whole = true
        } finally {
            generation.readers -= 1
            if (!whole && generation.readers == 0) {
                batch.cancel(generation.id)
            }
        }
    }

    private suspend fun sendPieces(generation: Generation, first: Int, writer: ResponseWriter) {
        var number = first
        var chunk = generation.chunk(number)
        while (chunk != null) {
            val event = ServerSentEvent(wireJson.encodeToString(chunk), number.toString())
            sendPiece(event, writer)
            number += 1
            if (number == batch.faults.cutAfterPieces && !generation.wasCut) {
                generation.wasCut = true
                writer.abort()
                return
            }
            chunk = generation.chunk(number)
        }
        writer.writeChunk(ServerSentEvent(ServerSentEvent.DONE).encode())
        writer.end()
    }

    private suspend fun sendPiece(event: ServerSentEvent, writer: ResponseWriter) {
        writer.writeChunk(event.encode())
        if (batch.faults.repeatPieces) {
            writer.writeChunk(event.encode())
        }
        if (batch.faults.crossPieces) {
            writer.writeChunk(event.copy(data = event.data.replaceFirst("\"id\":\"", "\"id\":\"other-")).encode())
        }
    }
}

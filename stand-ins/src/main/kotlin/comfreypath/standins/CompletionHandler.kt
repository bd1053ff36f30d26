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

/** Handles the completion requests of an engine stand-in. A stream can resume after any chunk. */
internal class CompletionHandler(private val batch: EngineBatch) {
    suspend fun handle(request: IncomingRequest, writer: ResponseWriter) {
        val id = request.headers.get(OpenAiHeaders.REQUEST_ID).orEmpty()
        decodeJson<ChatCompletionRequest>(request.text()).fold(
            success = { chat ->
                val generation = batch.start(id, chat)
                if (generation == null) {
                    writer.respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, emptyMap(), ByteArray(0))
                } else {
                    val lastEvent = request.headers.get(OpenAiHeaders.LAST_EVENT_ID)?.toIntOrNull() ?: -1
                    if (chat.stream) {
                        stream(generation, lastEvent + 1, writer)
                    } else {
                        respondWhole(generation, chat, writer)
                    }
                }
            },
            failure = { writer.respond(HttpResponseStatus.BAD_REQUEST, emptyMap(), it.encodeToByteArray()) },
        )
    }

    /** Responds with the whole completion in one body. */
    private suspend fun respondWhole(generation: Generation, chat: ChatCompletionRequest, writer: ResponseWriter) {
        var index = 0
        var last: ChatCompletionChunk? = null
        val text = StringBuilder()
        generation.readerCount += 1
        var chunk = generation.awaitChunk(index)
        while (chunk != null) {
            text.append(chunk.choices.first().delta.content)
            last = chunk
            index += 1
            chunk = generation.awaitChunk(index)
        }
        val message = ChatMessage("assistant", text.toString())
        val choice = CompletionChoice(message = message, finishReason = "stop")
        val completion = ChatCompletion(
            id = generation.id,
            model = chat.model,
            choices = listOf(choice),
            usage = last?.usage,
        )
        writer.respondJson(HttpResponseStatus.OK, completion, mapOf(OpenAiHeaders.REQUEST_ID to generation.id))
    }

    private suspend fun stream(generation: Generation, firstIndex: Int, writer: ResponseWriter) {
        val headers = mapOf("content-type" to "text/event-stream", OpenAiHeaders.REQUEST_ID to generation.id)
        writer.start(HttpResponseStatus.OK, headers)
        generation.readerCount += 1
        var finished = false
        try {
            sendEvents(generation, firstIndex, writer)
            finished = true
        } finally {
            generation.readerCount -= 1
            if (!finished && generation.readerCount == 0) {
                batch.cancel(generation.id)
            }
        }
    }

    private suspend fun sendEvents(generation: Generation, firstIndex: Int, writer: ResponseWriter) {
        var index = firstIndex
        var chunk = generation.awaitChunk(index)
        while (chunk != null) {
            val event = ServerSentEvent(wireJson.encodeToString(chunk), index.toString())
            sendEvent(event, writer)
            index += 1
            if (index == batch.faults.cutAfterPieces && !generation.wasAborted) {
                generation.wasAborted = true
                writer.abort()
                return
            }
            chunk = generation.awaitChunk(index)
        }
        writer.writeChunk(ServerSentEvent(ServerSentEvent.DONE).encode())
        writer.end()
    }

    private suspend fun sendEvent(event: ServerSentEvent, writer: ResponseWriter) {
        writer.writeChunk(event.encode())
        if (batch.faults.repeatPieces) {
            writer.writeChunk(event.encode())
        }
        if (batch.faults.crossPieces) {
            writer.writeChunk(event.copy(data = event.data.replaceFirst("\"id\":\"", "\"id\":\"other-")).encode())
        }
    }
}

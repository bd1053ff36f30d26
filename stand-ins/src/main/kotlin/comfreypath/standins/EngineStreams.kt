package comfreypath.standins

import com.github.michaelbull.result.fold
import comfreypath.protocols.ChatCompletionRequest
import comfreypath.protocols.HeaderNames
import comfreypath.protocols.ServerSentEvent
import comfreypath.protocols.wireJson
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.start
import comfreypath.transport.whole
import comfreypath.transport.decodeJson
import io.netty.handler.codec.http.HttpResponseStatus

/** Streams the completions of an engine stand-in, from any piece on. */
internal class EngineStreams(private val batch: EngineBatch) {
    suspend fun complete(request: IncomingRequest, writer: ResponseWriter) {
        val id = request.headers.get(HeaderNames.REQUEST_ID).orEmpty()
        decodeJson<ChatCompletionRequest>(request.text()).fold(
            success = { completion ->
                val generation = batch.start(id, completion)
                if (generation == null) {
                    writer.whole(HttpResponseStatus.INTERNAL_SERVER_ERROR, emptyMap(), ByteArray(0))
                } else {
                    stream(generation, first = 0, writer)
                }
            },
            failure = { writer.whole(HttpResponseStatus.BAD_REQUEST, emptyMap(), it.encodeToByteArray()) },
        )
    }

    suspend fun resume(id: String, request: IncomingRequest, writer: ResponseWriter) {
        val generation = batch.generations[id]
        val after = request.query("after")?.toIntOrNull() ?: -1
        if (generation == null) {
            writer.whole(HttpResponseStatus.NOT_FOUND, emptyMap(), ByteArray(0))
        } else {
            stream(generation, after + 1, writer)
        }
    }

    private suspend fun stream(generation: Generation, first: Int, writer: ResponseWriter) {
        val headers = mapOf("content-type" to "text/event-stream", HeaderNames.REQUEST_ID to generation.id)
        writer.start(HttpResponseStatus.OK, headers)
        generation.readers += 1
        try {
            sendPieces(generation, first, writer)
        } finally {
            generation.readers -= 1
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
        writer.piece(ServerSentEvent(ServerSentEvent.DONE).encode())
        writer.end()
    }

    private suspend fun sendPiece(event: ServerSentEvent, writer: ResponseWriter) {
        writer.piece(event.encode())
        if (batch.faults.repeatPieces) {
            writer.piece(event.encode())
        }
        if (batch.faults.crossPieces) {
            writer.piece(event.copy(data = event.data.replaceFirst("\"id\":\"", "\"id\":\"other-")).encode())
        }
    }
}

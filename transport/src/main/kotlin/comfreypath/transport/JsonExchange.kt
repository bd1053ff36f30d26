package comfreypath.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.SerializationException

/** The content type of JSON bodies. */
const val JSON_CONTENT_TYPE = "application/json"

/** Writes a complete response with [value] as its JSON body. */
suspend inline fun <reified T> ResponseWriter.respondJson(
    status: HttpResponseStatus,
    value: T,
    headers: Map<String, String> = emptyMap(),
) {
    val body = wireJson.encodeToString(value).encodeToByteArray()
    respond(status, headers + ("content-type" to JSON_CONTENT_TYPE), body)
}

/** Decodes a JSON text; the error says what is malformed and where. */
inline fun <reified T> decodeJson(text: String): Result<T, String> = try {
    Ok(wireJson.decodeFromString<T>(replaceDeepValues(text)))
} catch (malformed: SerializationException) {
    Err(malformed.message.orEmpty().lineSequence().first())
} catch (unexpected: IllegalArgumentException) {
    Err(unexpected.message.orEmpty().lineSequence().first())
}

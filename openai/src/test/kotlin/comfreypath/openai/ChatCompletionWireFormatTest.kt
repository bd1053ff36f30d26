package comfreypath.openai

import comfreypath.transport.wireJson
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a renamed property that changes the messages of the OpenAI-style interface. */
class ChatCompletionWireFormatTest {
    private val request = """{"model":"m","messages":[{"role":"user","content":"Hello"}],"stream":true,""" +
        """"max_tokens":9,"prompt_cache_key":"chat-7"}"""
    private val usage =
        """{"prompt_tokens":31,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":30}}"""
    private val chunk = """{"id":"r-1","object":"other","created":5,"model":"m",""" +
        """"choices":[{"index":1,"delta":{"content":"Hi"},"finish_reason":"stop"}],"usage":$usage}"""
    private val completion = """{"id":"r-1","object":"other","created":5,"model":"m",""" +
        """"choices":[{"index":1,"message":{"role":"assistant","content":"Hi"},"finish_reason":"stop"}],""" +
        """"usage":$usage}"""

    @OptIn(ExperimentalSerializationApi::class)
    private val withDefaults = Json {
        encodeDefaults = true
        explicitNulls = false
    }

    private inline fun <reified T> rewritten(text: String, format: Json = wireJson): String =
        format.encodeToString(format.decodeFromString<T>(text))

    @Test
    fun `requests, chunks and completions are read and written under these names`() {
        expectThat(rewritten<ChatCompletionRequest>(request)).isEqualTo(request)
        expectThat(rewritten<ChatCompletionChunk>(chunk)).isEqualTo(chunk)
        expectThat(rewritten<ChatCompletion>(completion)).isEqualTo(completion)
    }

    @Test
    fun `fields with their default value are omitted`() {
        val short = """{"id":"r-1","model":"m","choices":[{"delta":{}}]}"""
        expectThat(rewritten<ChatCompletionChunk>(short)).isEqualTo(short)
    }

    @Test
    fun `fields that are not given have these values`() {
        expectThat(rewritten<ChatCompletionRequest>("""{"model":"m","messages":[]}""", withDefaults))
            .isEqualTo("""{"model":"m","messages":[],"stream":false,"max_tokens":64}""")
        expectThat(rewritten<ChatCompletionChunk>("""{"id":"i","model":"m","choices":[{"delta":{}}]}""", withDefaults))
            .isEqualTo(
                """{"id":"i","object":"chat.completion.chunk","created":0,"model":"m",""" +
                    """"choices":[{"index":0,"delta":{"content":""}}]}""",
            )
        expectThat(rewritten<ChatCompletion>("""{"id":"i","model":"m","choices":[]}""", withDefaults))
            .isEqualTo("""{"id":"i","object":"chat.completion","created":0,"model":"m","choices":[]}""")
        expectThat(rewritten<ModelList>("""{"data":[{"id":"m"}]}""", withDefaults))
            .isEqualTo("""{"object":"list","data":[{"id":"m","object":"model"}]}""")
    }
}

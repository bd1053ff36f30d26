package comfreypath.daemon

import com.github.michaelbull.result.getOrElse
import comfreypath.openai.ErrorBody
import comfreypath.transport.HttpClient
import comfreypath.transport.OutgoingRequest
import comfreypath.transport.dispatcher
import comfreypath.transport.wireJson
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.Socket

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BadInputTest {
    private val fixture = FleetFixture()
    private val fleet = fixture.fleet
    private val client = HttpClient(fleet.callerLoop)
    private val address by lazy { fleet.routers.first().options.callerAddress }

    @BeforeAll
    fun start() = runBlocking { fleet.start() }

    @AfterAll
    fun stop() = runBlocking { fleet.stop() }

    private fun refusalOf(
        path: String = "/v1/chat/completions",
        body: String = "{}",
        key: String = fleet.layout.apiKey(0),
        method: HttpMethod = HttpMethod.POST,
    ): String = runBlocking {
        withContext(fleet.callerLoop.dispatcher()) {
            val headers = mapOf("authorization" to "Bearer $key")
            val request = OutgoingRequest(method, path, headers, body.encodeToByteArray())
            val response = client.fetch(address, request).getOrElse { error("$it") }
            val error = wireJson.decodeFromString<ErrorBody>(response.text()).error
            "${response.status} ${error.code} ${error.verdict}"
        }
    }

    private fun sendRaw(request: String): String = runBlocking(Dispatchers.IO) {
        Socket(address.host, address.port).use { socket ->
            socket.soTimeout = 5_000
            socket.getOutputStream().write(request.encodeToByteArray())
            socket.getOutputStream().flush()
            socket.getInputStream().bufferedReader().readLine().orEmpty()
        }
    }

    @Test
    fun `each kind of bad input has its own status and code`() {
        expectThat(refusalOf(body = "{\"model\":")).isEqualTo("400 bad_input notRun")
        expectThat(refusalOf(key = "wrong")).isEqualTo("401 unknown_key notRun")
        expectThat(refusalOf(body = """{"model":"none","messages":[{"role":"user","content":"a"}]}"""))
            .isEqualTo("404 unknown_model notRun")
        expectThat(refusalOf(path = "/services/none/x")).isEqualTo("404 unknown_route notRun")
        expectThat(refusalOf(path = fleet.layout.bookingPath, method = HttpMethod.PUT))
            .isEqualTo("405 wrong_method notRun")
        expectThat(refusalOf(path = "/nowhere")).isEqualTo("404 unknown_route notRun")
    }

    @Test
    fun `an oversized body is refused`() {
        expectThat(refusalOf(body = "x".repeat(1_100_000))).isEqualTo("413 bad_input notRun")
    }

    @Test
    fun `a request with both a content length and chunked encoding is refused`() {
        val smuggled = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        expectThat(sendRaw(smuggled)).startsWith("HTTP/1.1 400")
    }

    @Test
    fun `oversized headers are refused`() {
        val oversized = "GET / HTTP/1.1\r\nHost: a\r\nX-Long: ${"y".repeat(20_000)}\r\n\r\n"
        expectThat(sendRaw(oversized)).startsWith("HTTP/1.1 431")
    }
}

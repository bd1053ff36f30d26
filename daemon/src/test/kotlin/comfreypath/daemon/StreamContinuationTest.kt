package comfreypath.daemon

import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerStandIn
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** Guards against callers that find the error of the next endpoint within their stream, or a clean end too early. */
class StreamContinuationTest {
    /** What a caller has received; [complete] is true if the body was ended. */
    private class Received(val head: String, val body: String, val complete: Boolean)

    /** A response to a request that resumes a stream. */
    private class Form(val name: String, val response: (RawRequest) -> String)

    private fun event(request: RawRequest, number: Int) =
        PlatformServerStandIn.event(request.id, number).decodeToString()

    private fun events(request: RawRequest, numbers: IntRange) = numbers.joinToString("") { event(request, it) }

    private fun withLength(status: String, type: String, body: String) = { request: RawRequest ->
        rawHead(request, status, "${type}Content-Length: ${body.length}") + body
    }

    private fun chunked(status: String, type: String, body: String) = { request: RawRequest ->
        rawHead(request, status, "${type}Transfer-Encoding: chunked") + rawChunk(body) + "0\r\n\r\n"
    }

    private fun untilClosed(status: String, type: String, body: String) = { request: RawRequest ->
        rawHead(request, status, "${type}Connection: close") + body
    }

    private fun forms(name: String, status: String, type: String, body: String) = listOf(
        Form("$name with a length", withLength(status, type, body)),
        Form("$name in chunks", chunked(status, type, body)),
        Form("$name until the close", untilClosed(status, type, body)),
    )

    private val failures = listOf("500 Internal Server Error", "503 Service Unavailable", "404 Not Found")
        .flatMap { forms(it, it, JSON, ERROR) }

    private val successes = forms("JSON", "200 OK", JSON, ERROR) +
        forms("HTML", "200 OK", "Content-Type: text/html; charset=utf-8\r\n", ERROR) +
        forms("an error as an event", "200 OK", EVENTS, "event: error\ndata: overloaded\n\n") +
        forms("an error without a type", "200 OK", "", ERROR) +
        forms("a comment alone", "200 OK", EVENTS, ": overloaded\n\n") +
        Form("no event in chunks") { rawHead(it, "200 OK", "${EVENTS}Transfer-Encoding: chunked") + "0\r\n\r\n" } +
        Form("no event with a length", withLength("200 OK", EVENTS, "")) +
        Form("no event until the close", untilClosed("200 OK", EVENTS, "")) +
        Form("no body", withLength("200 OK", "", ""))

    private val broken = listOf(
        Form("a head cut short") { rawHead(it, "200 OK", "${EVENTS}Transfer-Encoding: chunked").dropLast(CUT_BYTES) },
        Form("the head of a failure cut short") { rawHead(it, "500 Failed", "Content-Length: 5").dropLast(CUT_BYTES) },
        Form("no response") { "" },
        Form("a success without a seal") { "HTTP/1.1 200 OK\r\n${JSON}Content-Length: ${ERROR.length}\r\n\r\n$ERROR" },
        Form("a failure in place of a chunk") {
            rawHead(it, "200 OK", "${EVENTS}Transfer-Encoding: chunked") + withLength("500 Failed", JSON, ERROR)(it)
        },
        Form("a refusal as not run") {
            "HTTP/1.1 503 Full\r\nX-Attempt-Id: ${it.id}\r\nX-Not-Executed: 1\r\n" +
                "Content-Length: ${ERROR.length}\r\n\r\n$ERROR"
        },
    )

    private fun beginStream(request: RawRequest, socket: Socket) {
        val head = rawHead(request, "200 OK", "${EVENTS}Transfer-Encoding: chunked")
        socket.send(head + rawChunk(events(request, 1..BEGUN)))
        Thread.sleep(FIRST_PART_MILLISECONDS)
        socket.close()
    }

    /** Begins each stream and breaks it off; responds to requests that resume one with [resumed]. */
    private fun endpoint(resumed: (RawRequest) -> String) = RawEndpoint { request, socket ->
        socket.receive(request.bodyLength)
        when {
            request.id.startsWith("probe") ->
                socket.send(withLength("200 OK", EVENTS, event(request, 1))(request))
            request.header(PlatformHeaders.LAST_EVENT_ID) == null -> beginStream(request, socket)
            else -> {
                socket.send(resumed(request))
                socket.close()
            }
        }
    }

    private fun uniquePrompt(id: String) =
        mapOf(PlatformHeaders.PROMPT_PARTS to "${Integer.toHexString(id.hashCode())}:100,1:1")

    private suspend fun PlatformFixture.useEngines(raws: List<RawEndpoint>) {
        raws.zip(fleet.engines).forEach { (raw, engine) ->
            val moved = engine.endpoint.copy(host = raw.address.host, port = raw.address.port)
            fleet.storeAdmin.updateRegistration(moved)
        }
        var probes = 0
        eventually("requests at the raw endpoints only") {
            val ids = List(PROBES) { "probe-${probes++}" }
            ids.forEach { call(PlatformRequest("draft", it, "8,7", headers = uniquePrompt(it))) }
            val reached = raws.all { raw -> raw.requests.isNotEmpty() }
            reached && fleet.engines.none { engine -> engine.server.receivedRequests.any { it.id in ids } }
        }
    }

    private fun withEngines(
        responses: List<(RawRequest) -> String>,
        test: suspend PlatformFixture.(List<RawEndpoint>) -> Unit,
    ) = PlatformFixture(engines = responses.size).run {
        val raws = responses.map { endpoint(it) }
        try {
            useEngines(raws)
            test(raws)
        } finally {
            raws.forEach { it.close() }
        }
    }

    private suspend fun PlatformFixture.stream(id: String): Received = withContext(Dispatchers.IO) {
        val address = fleet.routers.single().options.callerAddress
        val headers = listOf(
            "Host: ${PlatformFleet.HOST}",
            "Authorization: Token ${PlatformFleet.KEY}",
            "X-Attempt-Id: $id",
            "X-Deadline-Ms: 3000",
            "X-Model: m",
            "X-Token-Usage: $TOKENS",
            "Connection: close",
        )
        Socket(address.host, address.port).use { caller ->
            caller.soTimeout = RESPONSE_TIMEOUT_MILLISECONDS
            caller.send("GET /follow/x HTTP/1.1\r\n" + headers.joinToString("\r\n") + "\r\n\r\n")
            parse(receiveAll(caller))
        }
    }

    /** Reads until the connection is closed or reset. */
    private fun receiveAll(caller: Socket): String {
        val received = ByteArrayOutputStream()
        try {
            caller.getInputStream().transferTo(received)
        } catch (closed: IOException) {
            check("reset" in closed.message.orEmpty()) { "$closed after ${received.size()} bytes" }
        }
        return received.toString(Charsets.ISO_8859_1)
    }

    private fun parse(received: String): Received {
        val body = StringBuilder()
        var rest = received.substringAfter("\r\n\r\n")
        var size = rest.substringBefore("\r\n", "").toIntOrNull(HEX_RADIX)
        while (size != null && size > 0) {
            rest = rest.substringAfter("\r\n")
            body.append(rest.take(size))
            rest = rest.drop(size + 2)
            size = rest.substringBefore("\r\n", "").toIntOrNull(HEX_RADIX)
        }
        return Received(received.substringBefore("\r\n\r\n"), body.toString(), complete = size == 0)
    }

    private fun expectedEvents(id: String, count: Int) =
        (1..count).joinToString("") { PlatformServerStandIn.event(id, it).decodeToString() }

    /** Expects of each form that a caller gets the begun stream and nothing of the form, and no clean end. */
    private fun expectBrokenOff(forms: List<Form>) {
        val current = arrayOfNulls<Form>(1)
        val resume = { request: RawRequest -> checkNotNull(current[0]).response(request) }
        withEngines(listOf(resume, resume)) {
            val wrong = forms.mapIndexedNotNull { number, form ->
                current[0] = form
                val received = stream("s$number")
                val sound = received.head.startsWith("HTTP/1.1 200") && !received.complete &&
                    received.body == expectedEvents("s$number", BEGUN)
                if (sound) null else "${form.name}: complete ${received.complete}, ${received.head}\n${received.body}"
            }
            expectThat(wrong).isEqualTo(emptyList())
        }
    }

    @Test
    fun `a failure in response to the rest of a stream reaches no caller`() = expectBrokenOff(failures)

    @Test
    fun `a success that does not continue a stream reaches no caller and does not end the stream`() =
        expectBrokenOff(successes)

    @Test
    fun `a response that breaks off or refuses in place of the rest of a stream reaches no caller`() =
        expectBrokenOff(broken)

    @Test
    fun `a stream that one endpoint refuses to continue goes on at the next`() {
        val order = CopyOnWriteArrayList<String>()
        val refuseOnce = { request: RawRequest ->
            order += request.id
            if (order.size == 1) {
                "HTTP/1.1 503 Full\r\nX-Attempt-Id: ${request.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            } else {
                val first = checkNotNull(request.header(PlatformHeaders.LAST_EVENT_ID)).toInt() + 1
                val last = PlatformServerStandIn.eventCount(TOKENS)
                val rest = rawChunk(events(request, first..last)) + "0\r\n\r\n"
                rawHead(request, "200 OK", "${EVENTS}Transfer-Encoding: chunked") + rawChunk(": comment\n\n") + rest
            }
        }
        withEngines(listOf(refuseOnce, refuseOnce, refuseOnce)) {
            val received = stream("s1")
            expectThat(received.complete).isTrue()
            expectThat(received.body.replace(": comment\n\n", ""))
                .isEqualTo(expectedEvents("s1", PlatformServerStandIn.eventCount(TOKENS)))
            expectThat(order.toList()).containsExactly("s1", "s1")
        }
    }

    @Test
    fun `a stream that no endpoint begins is refused whole`() = PlatformFixture().run {
        RawEndpoint { request, socket ->
            socket.receive(request.bodyLength)
            socket.send(withLength("500 Internal Server Error", JSON, ERROR)(request))
        }.use { raw ->
            useEngine(raw)
            val received = stream("s1")
            expectThat(received.head.split(' ')[1]).isContainedIn(listOf("500", "502"))
            expectThat("data:" in received.body).isFalse()
        }
    }

    private companion object {
        const val TOKENS = "1612,70"
        const val EVENTS = "Content-Type: text/event-stream\r\n"
        const val JSON = "Content-Type: application/json\r\n"

        /** Ends with a blank line, so that it could be taken for an event. */
        const val ERROR = "{\"error\":\"overloaded\"}\n\n"
        const val BEGUN = 3
        const val CUT_BYTES = 6
        const val PROBES = 8
        const val FIRST_PART_MILLISECONDS = 20L
        const val RESPONSE_TIMEOUT_MILLISECONDS = 5_000
        const val HEX_RADIX = 16
    }
}

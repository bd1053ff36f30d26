package comfreypath.daemon

import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerStandIn
import java.net.Socket
import java.util.Collections
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** One in this many responses comes without a pause. */
private const val WITHOUT_PAUSE = 4

/** One in this many requests that have run elsewhere is refused. */
private const val REFUSED_REPEATS = 2
private const val MIN_PAUSE_MILLISECONDS = 1_000L
private const val MAX_PAUSE_MILLISECONDS = 2_000L

/**
 * A sound server that falls silent for one to two seconds at any point of a response and goes on, and that may refuse
 * requests which have run at another server as if it were full.
 *
 * @param seed determines the places and lengths of the pauses, by request
 * @param ran the requests that any server has run, by id
 */
internal class PausingServer(private val seed: Long, private val ran: MutableSet<String>) {
    private val ranHere = sharedSet()
    val endpoint = RawEndpoint(::respond)

    private fun respond(request: RawRequest, socket: Socket) {
        socket.receive(request.bodyLength)
        val random = Random(seed + request.id.hashCode())
        val ranElsewhere = request.id in ran && request.id !in ranHere
        if (ranElsewhere && random.nextInt(REFUSED_REPEATS) == 0) {
            socket.send(refusal(request))
            return
        }
        ran += request.id
        ranHere += request.id
        val pieces = if (request.header(PlatformHeaders.MODEL) == null) whole(request) else stream(request)
        val pauses = random.nextInt(WITHOUT_PAUSE) > 0 && request.id.startsWith(PAUSING) &&
            request.header(PlatformHeaders.LAST_EVENT_ID) == null
        val pauseBefore = if (pauses) random.nextInt(pieces.size) else pieces.size
        pieces.forEachIndexed { index, piece ->
            if (index == pauseBefore) Thread.sleep(random.nextLong(MIN_PAUSE_MILLISECONDS, MAX_PAUSE_MILLISECONDS))
            socket.send(piece)
        }
    }

    private fun head(request: RawRequest, framing: String) = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ${request.id}\r\n" +
        "X-Response-Seal: ${PlatformServerStandIn.signature(request.id)}\r\nKeep-Alive: timeout=10\r\n$framing\r\n\r\n"

    private fun refusal(request: RawRequest) = "HTTP/1.1 503 Full\r\nX-Attempt-Id: ${request.id}\r\n" +
        "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

    private fun whole(request: RawRequest): List<String> {
        val body = PlatformServerStandIn.responseBody(request.id).decodeToString()
        return listOf(head(request, "Content-Length: ${body.length}"), body.take(2), body.drop(2))
    }

    /** The head, then each event in two chunks, then the end. */
    private fun stream(request: RawRequest): List<String> {
        val first = (request.header(PlatformHeaders.LAST_EVENT_ID)?.toInt() ?: 0) + 1
        val last = PlatformServerStandIn.eventCount(request.header(PlatformHeaders.TOKEN_COUNTS).orEmpty())
        val events = (first..last).flatMap { number ->
            val event = PlatformServerStandIn.event(request.id, number).decodeToString()
            listOf(chunk(event.take(event.length / 2)), chunk(event.drop(event.length / 2)))
        }
        return listOf(head(request, "Transfer-Encoding: chunked")) + events + "0\r\n\r\n"
    }

    private fun chunk(text: String) = "${Integer.toHexString(text.length)}\r\n$text\r\n"

    companion object {
        /** The prefix of the ids of requests whose responses may pause. */
        const val PAUSING = "p-"

        /** A set to which several servers may add. */
        fun sharedSet(): MutableSet<String> = Collections.newSetFromMap(ConcurrentHashMap())
    }
}

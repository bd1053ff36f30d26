package comfreypath.openai

import com.github.michaelbull.result.fold
import comfreypath.coordination.model.RequestId
import comfreypath.router.request.CallerRequest
import comfreypath.router.request.EndpointDialect
import comfreypath.router.request.EndpointResponseHead
import comfreypath.router.request.SendPlan
import comfreypath.router.request.StreamEvent
import comfreypath.transport.HeaderText
import comfreypath.transport.RequestHead
import comfreypath.transport.decodeJson
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import java.time.Duration

private const val MISDIRECTED = 421
private const val UNAVAILABLE = 503

/** Ten years; longer pauses could overflow. */
private const val MAX_PAUSE_MILLISECONDS = 315_360_000_000L
private val DECIMAL = Regex("[0-9]+(\\.[0-9]+)?")
private val HOP_BY_HOP_HEADERS = listOf("connection", "keep-alive", "transfer-encoding", "content-length")

/** Encodes requests to the engines and plain services of the OpenAI-style interface and reads their responses. */
class OpenAiEndpointDialect : EndpointDialect {
    override fun encode(request: CallerRequest, plan: SendPlan): RequestHead {
        val headers = DefaultHttpHeaders().add(request.forwardedHeaders)
        headers.set("host", "${plan.endpoint.host}:${plan.endpoint.port}")
        headers.set(OpenAiHeaders.REQUEST_ID, request.id.text)
        headers.set(OpenAiHeaders.TIME_LEFT, plan.timeLeft.toMillis())
        headers.set(OpenAiHeaders.EXPECTED_ENDPOINT, HeaderText.encode(plan.endpoint.name.text))
        plan.team?.let { headers.set(OpenAiHeaders.TEAM, HeaderText.encode(it.text)) }
        plan.priority?.let { headers.set(OpenAiHeaders.PRIORITY, it) }
        plan.lastEventId?.let { headers.set(OpenAiHeaders.LAST_EVENT_ID, it) }
        return RequestHead(request.method, request.uri, headers)
    }

    override fun read(status: Int, headers: HttpHeaders): EndpointResponseHead {
        val pauseText = headers.get(OpenAiHeaders.PAUSE).takeIf { status == UNAVAILABLE }
        val pause = pauseText?.toLongOrNull()?.takeIf { it in 0..MAX_PAUSE_MILLISECONDS }?.let { Duration.ofMillis(it) }
        val rateLimitText = headers.get(OpenAiHeaders.RATE_LIMIT)
        val rateLimit = rateLimitText?.takeIf { DECIMAL.matches(it) }?.toDouble()
        return readHead(status, headers).copy(
            leaving = headers.contains(OpenAiHeaders.LEAVING),
            pause = pause,
            unreadablePause = pauseText.takeIf { pause == null },
            rateLimit = rateLimit,
            unreadableRateLimit = rateLimitText.takeIf { rateLimit == null },
        )
    }

    private fun readHead(status: Int, headers: HttpHeaders) = EndpointResponseHead(
        status = status,
        genuine = true,
        requestId = headers.get(OpenAiHeaders.REQUEST_ID)?.let { RequestId(it) },
        notRun = status == MISDIRECTED || headers.contains(OpenAiHeaders.NOT_RUN),
        wrongEndpoint = status == MISDIRECTED,
        endpoint = null,
        load = null,
        idleTimeout = null,
        retryAfter = null,
        contentLength = headers.get("content-length")?.toLongOrNull(),
        forwardedHeaders = DefaultHttpHeaders().add(headers)
            .also { kept -> HOP_BY_HOP_HEADERS.forEach { kept.remove(it) } },
    )

    /** An engine may interleave chunks of other responses; each chunk carries the ID of its request. */
    override fun belongsTo(event: StreamEvent, request: CallerRequest): Boolean {
        val data = dataOf(event)
        return data == null || data == ServerSentEvent.DONE ||
            decodeJson<ChatCompletionChunk>(data).fold(success = { it.id == request.id.text }, failure = { false })
    }

    override fun marksEnd(event: StreamEvent): Boolean = dataOf(event) == ServerSentEvent.DONE

    private fun dataOf(event: StreamEvent): String? = ServerSentEventParser().feed(event.bytes).singleOrNull()?.data
}

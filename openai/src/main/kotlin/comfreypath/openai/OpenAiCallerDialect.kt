package comfreypath.openai

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.placement.hashOf
import comfreypath.coordination.placement.mix
import comfreypath.coordination.routing.Prompt
import comfreypath.coordination.routing.PromptPart
import comfreypath.router.request.CallerDialect
import comfreypath.router.request.CallerRequest
import comfreypath.router.request.FullResponse
import comfreypath.router.request.Refusal
import comfreypath.router.request.RefusalCode
import comfreypath.router.request.RouteAddress
import comfreypath.router.telemetry.TRACE_PARENT
import comfreypath.transport.HeaderText
import comfreypath.transport.IncomingRequest
import comfreypath.transport.decodeJson
import comfreypath.transport.wireJson
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.collections.immutable.toImmutableList
import java.net.URLEncoder
import java.time.Instant

/** Larger counts are implausible. */
private const val MAX_TOKENS = 10_000_000
private const val CHAT_PATH = "/v1/chat/completions"
private const val SERVICES_PATH = "/services/"
private const val KEY_SCHEME = "Bearer "
private const val MAX_KEY_LENGTH = 256
private const val CHARACTERS_PER_TOKEN = 4
private const val ID_RADIX = 36

/**
 * Reads requests of the OpenAI-style interface, which offers chat completions by model and plain services by name.
 *
 * The route of a chat is looked up by the host [CHAT_HOST] with the model's name as the path, the route of a plain
 * service by the host [SERVICE_HOST] with the rest of the path.
 *
 * @param instance makes the request IDs that this router assigns unique in the fleet
 * @param startedAt makes them unique across restarts of this router
 */
class OpenAiCallerDialect(instance: InstanceName, startedAt: Instant) : CallerDialect {
    private val instanceText = URLEncoder.encode(instance.text, Charsets.UTF_8)
    private val incarnation = startedAt.toEpochMilli().toString(ID_RADIX)
    private var requestCount = 0L

    override fun read(request: IncomingRequest, receivedAt: Instant): Result<CallerRequest, Refusal> = when {
        request.path == CHAT_PATH && request.method == HttpMethod.POST -> readChat(request, receivedAt)
        request.path == CHAT_PATH -> Err(wrongMethod(request))
        request.path.startsWith(SERVICES_PATH) && request.method !in SERVICE_METHODS -> Err(wrongMethod(request))
        request.path.startsWith(SERVICES_PATH) -> readService(request, receivedAt)
        else -> Err(Refusal(RefusalCode.UNKNOWN_ROUTE, "there is nothing at ${request.path}"))
    }

    private fun wrongMethod(request: IncomingRequest) =
        Refusal(RefusalCode.WRONG_METHOD, "${request.path} does not take ${request.method}")

    private fun readChat(request: IncomingRequest, receivedAt: Instant): Result<CallerRequest, Refusal> =
        decodeJson<ChatCompletionRequest>(request.text())
            .andThen { if (it.messages.isEmpty()) Err("there is no message") else Ok(it) }
            .fold(
                success = { completion ->
                    val address = RouteAddress(CHAT_HOST, "/${completion.model}/")
                    Ok(callerRequest(request, RoutingFacts(address, request.uri, promptOf(completion)), receivedAt))
                },
                failure = { reason ->
                    val bodyError = Refusal(RefusalCode.BAD_INPUT, reason)
                    val address = RouteAddress(CHAT_HOST, "/")
                    Ok(callerRequest(request, RoutingFacts(address, request.uri, bodyError = bodyError), receivedAt))
                },
            )

    private fun readService(request: IncomingRequest, receivedAt: Instant): Result<CallerRequest, Refusal> {
        val rest = request.uri.removePrefix(SERVICES_PATH.dropLast(1))
        val key = request.headers.get(OpenAiHeaders.IDEMPOTENCY_KEY)
        val access = if (request.method == HttpMethod.GET) "read" else "write"
        return if (key != null && (key.isEmpty() || key.length > MAX_KEY_LENGTH)) {
            Err(Refusal(RefusalCode.BAD_INPUT, "an Idempotency-Key has 1 to $MAX_KEY_LENGTH characters"))
        } else {
            val path = rest.substringBefore('?').trimEnd('/')
            val address = RouteAddress(SERVICE_HOST, "$path/$access/")
            val uri = "/" + rest.trimStart('/').substringAfter('/', "")
            Ok(callerRequest(request, RoutingFacts(address, uri, idempotencyKey = key), receivedAt))
        }
    }

    /** What the URI, the body and the headers of a request contribute to its routing. */
    private class RoutingFacts(
        val address: RouteAddress,
        val uri: String,
        val prompt: Prompt? = null,
        val idempotencyKey: String? = null,
        val bodyError: Refusal? = null,
    )

    private fun callerRequest(request: IncomingRequest, facts: RoutingFacts, receivedAt: Instant): CallerRequest {
        requestCount += 1
        val forwarded = DefaultHttpHeaders()
        request.headers.get("content-type")?.let { forwarded.set("content-type", it) }
        request.headers.get(TRACE_PARENT)?.let { forwarded.set(TRACE_PARENT, it) }
        return CallerRequest(
            id = RequestId("$instanceText-$incarnation-${requestCount.toString(ID_RADIX)}"),
            address = facts.address,
            method = request.method,
            uri = facts.uri,
            forwardedHeaders = forwarded,
            body = request.body,
            timeBudget = null,
            apiKey = request.headers.get("authorization")
                ?.takeIf { it.startsWith(KEY_SCHEME, ignoreCase = true) }
                ?.substring(KEY_SCHEME.length)
                ?.let(HeaderText::decode),
            prompt = facts.prompt,
            lastEventId = request.headers.get(OpenAiHeaders.LAST_EVENT_ID)?.toLongOrNull(),
            receivedAt = receivedAt,
            idempotencyKey = facts.idempotencyKey,
            bodyError = facts.bodyError,
        )
    }

    /** Two parts: one that all turns of a chat share, by its cache key or its first message, and one for this turn. */
    private fun promptOf(completion: ChatCompletionRequest): Prompt {
        val tokens = completion.messages.sumOf { it.content.length } / CHARACTERS_PER_TOKEN + 1
        val firstMessage = completion.messages.first().content
        val shared = hashOf(completion.promptCacheKey ?: firstMessage)
        val turn = mix(shared, hashOf(completion.messages.joinToString("\n") { it.content }))
        return Prompt(
            model = completion.model,
            promptTokens = tokens,
            maxOutputTokens = completion.maxTokens.coerceIn(0, MAX_TOKENS),
            parts = listOf(PromptPart(shared, tokens), PromptPart(turn, 1)).toImmutableList(),
            expectedOutputTokens = null,
        )
    }

    override fun encode(refusal: Refusal, request: CallerRequest?): FullResponse {
        val headers = DefaultHttpHeaders().set("content-type", "application/json")
        request?.let { headers.set(OpenAiHeaders.REQUEST_ID, it.id.text) }
        val seconds = refusal.retryAfter?.let { (it.toMillis() + ROUND_UP_MILLISECONDS) / MILLISECONDS_PER_SECOND }
        seconds?.let { headers.set("retry-after", it) }
        val unknownModel = refusal.code == RefusalCode.UNKNOWN_ROUTE && request?.address?.host == CHAT_HOST
        val detail = ErrorDetail(
            code = if (unknownModel) "unknown_model" else refusal.code.text,
            message = refusal.detail,
            verdict = if (refusal.code.mayHaveRun) "mayHaveRun" else "notRun",
            retryAfterSeconds = seconds,
            requestId = request?.id?.text,
        )
        return FullResponse(
            refusal.code.status,
            headers,
            wireJson.encodeToString(ErrorBody(detail)).encodeToByteArray(),
        )
    }

    companion object {
        /** The host of the routes of chats; their path is the name of the model. */
        const val CHAT_HOST = "chat"

        /** The host of the routes of plain services; paths end in `/read/` for GET and in `/write/` otherwise. */
        const val SERVICE_HOST = "services"

        private val SERVICE_METHODS = setOf(HttpMethod.GET, HttpMethod.POST)
        private const val MILLISECONDS_PER_SECOND = 1_000L
        private const val ROUND_UP_MILLISECONDS = 999L
    }
}

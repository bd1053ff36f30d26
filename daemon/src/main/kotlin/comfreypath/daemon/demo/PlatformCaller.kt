package comfreypath.daemon.demo

import com.github.michaelbull.result.Result
import comfreypath.platform.PlatformHeaders
import comfreypath.transport.Address
import comfreypath.transport.ClientResponse
import comfreypath.transport.ExchangeFailure
import comfreypath.transport.HttpClient
import comfreypath.transport.OutgoingRequest
import comfreypath.transport.dispatcher
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.withContext

/**
 * A request as clients of the users' platform send it.
 *
 * @property route the name of the route, which is the first segment of the path
 * @property id the ID of the attempt
 * @property tokens `PROMPT,OUTPUT`, the token counts of a streamed request to a model engine; null for plain requests
 * @property key the key of a team; null to send none
 * @property headers additional headers, which override the standard ones
 */
class PlatformRequest(
    val route: String,
    val id: String,
    val tokens: String? = null,
    val key: String? = PlatformFleet.KEY,
    val headers: Map<String, String> = emptyMap(),
    val body: ByteArray = ByteArray(0),
) {
    /** The HTTP request to send. */
    fun toOutgoingRequest(): OutgoingRequest {
        val standardHeaders = mutableMapOf(
            "Host" to PlatformFleet.HOST,
            PlatformHeaders.REQUEST_ID to id,
            PlatformHeaders.TIME_LEFT to "4000",
        )
        key?.let { standardHeaders[PlatformHeaders.AUTHORIZATION] = "Token $it" }
        tokens?.let {
            val uniquePart = Integer.toHexString(id.hashCode())
            standardHeaders[PlatformHeaders.MODEL] = "m"
            standardHeaders[PlatformHeaders.TOKEN_COUNTS] = it
            standardHeaders[PlatformHeaders.PROMPT_PARTS] = "5c1e07a2:512,91bd3f06:1000,$uniquePart:100"
        }
        val method = if (tokens != null || body.isNotEmpty()) HttpMethod.POST else HttpMethod.GET
        return OutgoingRequest(method, "/$route/x?y=1", standardHeaders + headers, body)
    }
}

/** Sends requests to routers as clients of the users' platform do. */
class PlatformCaller(private val loop: EventLoop) {
    private val client = HttpClient(loop)

    /** Sends [request] and returns the full response. */
    suspend fun call(address: Address, request: PlatformRequest): Result<ClientResponse, ExchangeFailure> =
        withContext(loop.dispatcher()) { client.fetch(address, request.toOutgoingRequest()) }
}

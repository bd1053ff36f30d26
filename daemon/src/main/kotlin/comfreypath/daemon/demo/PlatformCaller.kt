package comfreypath.daemon.demo

import com.github.michaelbull.result.Result
import comfreypath.platform.PlatformHeaders
import comfreypath.transport.Address
import comfreypath.transport.ExchangeFailure
import comfreypath.transport.HttpClient
import comfreypath.transport.OutgoingRequest
import comfreypath.transport.WholeResponse
import comfreypath.transport.dispatcher
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.withContext

/**
 * A request of a client of the users' platform.
 *
 * @property route the name of the route, which is the first part of the path
 * @property id the identity of the attempt
 * @property tokens asks a model engine for a stream, as `PROMPT,OUTPUT`; null for plain requests
 * @property key the key of a team; null to show none
 * @property headers headers beside the usual ones
 */
class PlatformRequest(
    val route: String,
    val id: String,
    val tokens: String? = null,
    val key: String? = PlatformFleet.KEY,
    val headers: Map<String, String> = emptyMap(),
    val body: ByteArray = ByteArray(0),
) {
    /** The request as it is sent. */
    fun toOutgoingRequest(): OutgoingRequest {
        val standardHeaders = mutableMapOf(
            "Host" to PlatformFleet.HOST,
            PlatformHeaders.REQUEST_ID to id,
            PlatformHeaders.DEADLINE to "4000",
        )
        key?.let { standardHeaders[PlatformHeaders.AUTHORIZATION] = "Token $it" }
        tokens?.let {
            val own = Integer.toHexString(id.hashCode())
            standardHeaders[PlatformHeaders.MODEL] = "m"
            standardHeaders[PlatformHeaders.TOKENS] = it
            standardHeaders[PlatformHeaders.PROMPT_PARTS] = "5c1e07a2:512,91bd3f06:1000,$own:100"
        }
        val method = if (tokens != null || body.isNotEmpty()) HttpMethod.POST else HttpMethod.GET
        return OutgoingRequest(method, "/$route/x?y=1", standardHeaders + headers, body)
    }
}

/** Calls routers as clients of the users' platform do. */
class PlatformCaller(private val loop: EventLoop) {
    private val client = HttpClient(loop)

    /** Sends [request] and waits for the whole answer. */
    suspend fun call(address: Address, request: PlatformRequest): Result<WholeResponse, ExchangeFailure> =
        withContext(loop.dispatcher()) { client.whole(address, request.toOutgoingRequest()) }
}

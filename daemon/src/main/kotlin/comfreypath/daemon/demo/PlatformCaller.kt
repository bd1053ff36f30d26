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

/** Calls routers as clients of the users' platform do. */
class PlatformCaller(private val loop: EventLoop) {
    private val client = HttpClient(loop)

    /** Sends a request on the route called [route]; streams are asked for by [tokens], as `PROMPT,OUTPUT`. */
    suspend fun call(
        address: Address,
        route: String,
        id: String,
        tokens: String? = null,
        key: String? = PlatformFleet.KEY,
        more: Map<String, String> = emptyMap(),
        body: ByteArray = ByteArray(0),
    ): Result<WholeResponse, ExchangeFailure> {
        val headers = HashMap<String, String>()
        headers["Host"] = PlatformFleet.HOST
        headers[PlatformHeaders.REQUEST_ID] = id
        headers[PlatformHeaders.DEADLINE] = "4000"
        key?.let { headers[PlatformHeaders.AUTHORIZATION] = "Token $it" }
        tokens?.let {
            headers[PlatformHeaders.MODEL] = "m"
            headers[PlatformHeaders.TOKENS] = it
            headers[PlatformHeaders.PROMPT_PARTS] = "5c1e07a2:512,91bd3f06:1000,${Integer.toHexString(id.hashCode())}:100"
        }
        val method = if (tokens != null || body.isNotEmpty()) HttpMethod.POST else HttpMethod.GET
        val request = OutgoingRequest(method, "/$route/x?y=1", headers + more, body)
        return withContext(loop.dispatcher()) { client.whole(address, request) }
    }
}

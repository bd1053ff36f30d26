package comfreypath.router

import comfreypath.transport.MemoryBudget
import comfreypath.transport.ResponseWriter
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

private const val RETRY_AFTER_SECONDS = 1

/** Takes the memory of a complete response from [account] until it is written; without room, it is a 503. */
internal class BudgetedResponse(
    private val account: MemoryBudget.Account,
    private val writer: ResponseWriter,
    private val onRefused: () -> Unit,
) : ResponseWriter by writer {
    override suspend fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteArray) {
        if (account.add(body.size)) {
            writer.respond(status, headers, body)
        } else {
            onRefused()
            val retry = DefaultHttpHeaders().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS)
            writer.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, retry, ByteArray(0))
        }
    }
}

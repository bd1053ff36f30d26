package comfreypath.standins

import comfreypath.platform.StoreWire
import comfreypath.transport.ResponseWriter
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** Writes responses that name the [era] of the store, as of the response; none if it is 0. */
internal class EraNamingWriter(
    private val writer: ResponseWriter,
    private val era: () -> Long,
) : ResponseWriter by writer {
    override suspend fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteArray) {
        val named = era()
        if (named > 0) headers.set(StoreWire.ERA, named)
        writer.respond(status, headers, body)
    }
}

package comfreypath.transport

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeadersFactory

/** The memory of the head that one client connection receives, taken from [budget]. */
internal class ResponseHeadMemory(private val budget: MemoryBudget) {
    private var account = budget.open()

    /** Creates the headers of the next response. */
    val headersFactory: HttpHeadersFactory = HeadersFactory(DefaultHttpHeadersFactory.headersFactory()) { release() }

    /** Creates the trailers of a response. */
    val trailersFactory: HttpHeadersFactory = HeadersFactory(DefaultHttpHeadersFactory.trailersFactory()) { }

    /** Gives the memory of the latest head back. */
    fun release() {
        account.close()
        account = budget.open()
    }

    private fun reserve(count: Int) {
        if (!account.add(count)) throw HeadOutOfMemoryException()
    }

    private inner class HeadersFactory(
        private val validation: DefaultHttpHeadersFactory,
        private val onMessage: () -> Unit,
    ) : HttpHeadersFactory {
        override fun newHeaders(): MeteredHeaders {
            onMessage()
            return MeteredHeaders(validation, ::reserve)
        }

        override fun newEmptyHeaders() = newHeaders()
    }
}

package comfreypath.transport

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeadersFactory

/** The memory of the head that one client connection receives, taken from [budget]. */
internal class ResponseHeadMemory(private val budget: MemoryBudget) {
    private var account = budget.open()

    /** Creates the headers of the next response. */
    val headersFactory: HttpHeadersFactory =
        MeteredHeadersFactory(DefaultHttpHeadersFactory.headersFactory(), ::reserve, onHeaders = ::release)

    /** Creates the trailers of a response. */
    val trailersFactory: HttpHeadersFactory =
        MeteredHeadersFactory(DefaultHttpHeadersFactory.trailersFactory(), ::reserve)

    /** Gives the memory of the latest head back. */
    fun release() {
        account.close()
        account = budget.open()
    }

    private fun reserve(count: Int) {
        if (!account.add(count)) throw HeadOutOfMemoryException()
    }
}

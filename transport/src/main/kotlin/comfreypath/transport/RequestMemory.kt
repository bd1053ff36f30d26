package comfreypath.transport

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeadersFactory

/** What a request line holds beside its text, which the path and the query repeat. */
private const val REQUEST_BYTES = 512
private const val REQUEST_LINE_COPIES = 3

/**
 * The memory of the request that one connection receives.
 *
 * @property address the client's address
 * @property makeRoom frees the memory of an unfinished head that holds more than the given bytes, of the given client
 * if that is not null; returns false if there is none
 */
internal class RequestMemory(
    private val memory: BodyMemory,
    val address: String,
    private val makeRoom: (moreThan: Long, address: String?) -> Boolean,
) {
    private val heads = memory.heads.open(address)
    private val headers = ArrayList<MeteredHeaders>()
    private var input: ExchangeMemory? = null

    private var receiving: ExchangeMemory? = null

    /** The bytes that the head of the unfinished request holds, with its input that is not decoded. */
    val unfinishedBytes: Long get() = (receiving?.head?.bytes ?: 0) + (input?.head?.bytes ?: 0)

    /** Creates the headers of the next request. */
    val headersFactory: HttpHeadersFactory =
        MeteredHeadersFactory(DefaultHttpHeadersFactory.headersFactory(), ::reserve, ::begin) { headers += it }

    /** Creates the trailers of the request that is being received. */
    val trailersFactory: HttpHeadersFactory =
        MeteredHeadersFactory(DefaultHttpHeadersFactory.trailersFactory(), ::reserve) { headers += it }

    private fun begin() {
        discard()
        receiving = memory.open(heads)
    }

    /** The accounts of the request whose head is complete. */
    fun accounts(): ExchangeMemory = receiving ?: memory.open(heads).also { receiving = it }

    /** Takes the memory of a request line of [length] characters; throws [HeadOutOfMemoryException] without room. */
    fun reserveRequestLine(length: Int) = reserve(REQUEST_BYTES + REQUEST_LINE_COPIES * length)

    private fun reserve(count: Int) {
        if (!grow(receiving, count)) throw HeadOutOfMemoryException()
    }

    private fun grow(accounts: ExchangeMemory?, count: Int): Boolean {
        val head = accounts?.head ?: return false
        var growth = head.add(count)
        while (growth.relievedBy { makeRoom(unfinishedBytes, it) }) growth = head.add(count)
        return growth == HeadGrowth.ADDED
    }

    private fun HeadGrowth.relievedBy(makeRoomAt: (String?) -> Boolean): Boolean = when (this) {
        HeadGrowth.ADDED, HeadGrowth.CONNECTION_FULL -> false
        HeadGrowth.ADDRESS_FULL -> makeRoomAt(address)
        HeadGrowth.FULL -> makeRoomAt(null)
    }

    /** Takes the memory of [bytes] of input that is not decoded, instead of those before; false if there is no room. */
    fun holdInput(bytes: Int): Boolean {
        input?.close()
        input = if (bytes > 0) memory.open(heads) else null
        return bytes == 0 || grow(input, bytes)
    }

    /** Leaves the accounts to the request, which is complete. */
    fun complete() {
        receiving = null
        headers.clear()
    }

    /** Drops the request that is not complete. */
    fun discard() {
        headers.forEach { it.clear() }
        headers.clear()
        receiving?.close()
        receiving = null
    }

    /** Drops all that is not complete, once the connection takes no more. */
    fun close() {
        discard()
        holdInput(0)
    }
}

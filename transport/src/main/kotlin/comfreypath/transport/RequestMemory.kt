package comfreypath.transport

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeadersFactory
import java.time.Instant
import java.time.InstantSource

/** What a request line holds beside its text, which the path and the query repeat. */
private const val REQUEST_BYTES = 512
private const val REQUEST_LINE_COPIES = 3

/**
 * The memory of the request that one connection receives.
 *
 * @property address the client's address
 * @property makeRoom refuses another unfinished request, of the given client if that is not null; returns false if it
 * finds none
 */
internal class RequestMemory(
    private val memory: BodyMemory,
    val address: String,
    private val clock: InstantSource = InstantSource.system(),
    private val makeRoom: (address: String?) -> Boolean,
) {
    private val heads = memory.heads.open(address)
    private val headers = ArrayList<MeteredHeaders>()
    private var input: ExchangeMemory? = null

    private var receiving: ExchangeMemory? = null

    /** The bytes that the unfinished request holds, with its input that is not decoded. */
    val unfinishedBytes: Long get() = (receiving?.request?.bytes ?: 0) + (input?.request?.bytes ?: 0)

    /** When the first byte of the unfinished request was read; null if there is none. */
    var receivingSince: Instant? = null
        private set

    /** Creates the headers of the next request. */
    val headersFactory: HttpHeadersFactory =
        MeteredHeadersFactory(DefaultHttpHeadersFactory.headersFactory(), ::reserve, ::begin) { headers += it }

    /** Creates the trailers of the request that is being received. */
    val trailersFactory: HttpHeadersFactory =
        MeteredHeadersFactory(DefaultHttpHeadersFactory.trailersFactory(), ::reserve) { headers += it }

    private fun begin() {
        val since = receivingSince
        discard()
        receivingSince = since ?: clock.instant()
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
        while (growth.relievedBy(address, makeRoom)) growth = head.add(count)
        return growth == HeadGrowth.ADDED
    }

    /** Adds [chunk] to [body], the body of the unfinished request; another one is refused if there is no room. */
    fun addTo(body: BodyBuffer, chunk: ByteArray): BodyGrowth {
        var growth = body.add(chunk)
        while (growth == BodyGrowth.OUT_OF_MEMORY && makeRoom(null)) growth = body.add(chunk)
        return growth
    }

    /** Takes the memory of [bytes] of input that is not decoded, instead of those before; false if there is no room. */
    fun holdInput(bytes: Int): Boolean {
        input?.close()
        input = if (bytes > 0) memory.open(heads) else null
        if (bytes > 0 && receivingSince == null) receivingSince = clock.instant()
        if (bytes == 0 && receiving == null) receivingSince = null
        return bytes == 0 || grow(input, bytes)
    }

    /** Leaves the accounts to the request, which is complete. */
    fun complete() {
        receiving = null
        receivingSince = null
        headers.clear()
    }

    /** Drops the request that is not complete. */
    fun discard() {
        headers.forEach { it.clear() }
        headers.clear()
        receiving?.close()
        receiving = null
        receivingSince = null
    }

    /** Drops all that is not complete, once the connection takes no more. */
    fun close() {
        discard()
        holdInput(0)
    }
}

private fun HeadGrowth.relievedBy(address: String, makeRoom: (String?) -> Boolean): Boolean = when (this) {
    HeadGrowth.ADDED, HeadGrowth.CONNECTION_FULL -> false
    HeadGrowth.ADDRESS_FULL -> makeRoom(address)
    HeadGrowth.FULL -> makeRoom(null)
}

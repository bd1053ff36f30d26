package comfreypath.transport

import java.time.Duration
import java.time.Instant

/** A shorter time says nothing about a client. */
private const val MIN_STALL_MILLISECONDS = 500L

/** A connection on which a request may be received. */
internal interface UnfinishedRequest {
    /** The client's address. */
    val address: String

    /** The bytes that the unfinished request holds; 0 if no request can be refused. */
    val refusableBytes: Long

    /** When the first byte of the unfinished request was read; null if there is none. */
    val receivingSince: Instant?

    /** Refuses the unfinished request, so that its memory is free for others. */
    fun refuseUnfinished()
}

/**
 * The connections of all servers that share one budget, on which requests are received. Chooses the request that is
 * refused when a new one finds no memory.
 */
internal class UnfinishedRequests {
    private val connections = LinkedHashSet<UnfinishedRequest>()

    /** Adds a connection that has opened. */
    fun add(connection: UnfinishedRequest) {
        connections += connection
    }

    /** Removes a connection that has closed. */
    fun remove(connection: UnfinishedRequest) {
        connections -= connection
    }

    /**
     * Refuses a request for [newer], of the client at [address] or of any if that is null: the one that holds most if
     * it holds more than [newer]; else, of those that began well before it, the one that has held most for longest.
     * Returns false if there is none.
     */
    fun refuseFor(newer: UnfinishedRequest, address: String?): Boolean {
        val others = connections.filter { it !== newer && (address == null || it.address == address) }
        val refused = largest(others, newer.refusableBytes) ?: stalled(others, newer.receivingSince)
        refused?.refuseUnfinished()
        return refused != null
    }

    private fun largest(others: List<UnfinishedRequest>, moreThan: Long): UnfinishedRequest? =
        others.maxByOrNull { it.refusableBytes }?.takeIf { it.refusableBytes > moreThan }

    private fun stalled(others: List<UnfinishedRequest>, newerSince: Instant?): UnfinishedRequest? {
        val before = newerSince?.minus(MIN_STALL) ?: return null
        return others.filter { it.refusableBytes > 0 && it.receivingSince?.isBefore(before) ?: false }
            .maxByOrNull { it.refusableBytes * Duration.between(it.receivingSince, newerSince).toMillis() }
    }

    private companion object {
        val MIN_STALL: Duration = Duration.ofMillis(MIN_STALL_MILLISECONDS)
    }
}

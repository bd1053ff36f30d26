package comfreypath.transport

/**
 * The budgets for the heads and bodies of all exchanges, and for the connections that carry them. Responses have one of
 * their own, so that new requests can't take the memory that the requests already accepted need for their responses.
 *
 * @property connections bounds the open connections of the process
 * @property pace bounds the work that short parts of bodies cause
 */
class BodyMemory(
    requestBytes: Long,
    responseBytes: Long,
    val connections: ConnectionBudget = ConnectionBudget.unlimited(),
    internal val pace: PartPace = PartPace(),
) {
    private val requests = MemoryBudget(requestBytes)
    private val responses = MemoryBudget(responseBytes)

    /** What the heads of requests may hold of the memory of requests. */
    internal val heads = HeadMemory(requestBytes)

    /** The requests that hold a part of the memory and are not complete. */
    internal val unfinished = UnfinishedRequests()

    /** The memory of responses. */
    internal val responseBudget: MemoryBudget get() = responses

    /** The bytes that all bodies, and the heads of requests, hold. */
    val usedBytes: Long get() = requests.usedBytes + responses.usedBytes

    /** Opens the accounts of an exchange. */
    fun open() = ExchangeMemory(requests.open(), responses.open())

    /** Opens the accounts of an exchange on the connection of [heads]. */
    internal fun open(heads: HeadMemory.Connection): ExchangeMemory {
        val request = requests.open()
        return ExchangeMemory(request, responses.open(), heads.open(request))
    }

    companion object {
        /** Budgets that nothing exhausts. */
        fun unlimited() = BodyMemory(Long.MAX_VALUE, Long.MAX_VALUE)
    }
}

/**
 * The accounts of one exchange.
 *
 * @property head what the head of the request holds of its account; null if that is not counted
 */
class ExchangeMemory(
    val request: MemoryBudget.Account,
    val response: MemoryBudget.Account,
    internal val head: HeadMemory.Connection.Charge? = null,
) {
    private var holders = 1

    /** Adds a holder, for work that outlives the exchange; the accounts stay open until each has closed them. */
    fun retain() {
        holders += 1
    }

    /** Gives all bytes back once the last holder no longer needs the bodies. */
    fun close() {
        holders -= 1
        if (holders == 0) {
            head?.close()
            request.close()
            response.close()
        }
    }
}

package comfreypath.transport

/**
 * The budgets for the bodies of all exchanges. Responses have one of their own, so that new requests can't take the
 * memory that the requests already accepted need for their responses.
 */
class BodyMemory(requestBytes: Long, responseBytes: Long) {
    private val requests = MemoryBudget(requestBytes)
    private val responses = MemoryBudget(responseBytes)

    /** The bytes that all bodies hold. */
    val usedBytes: Long get() = requests.usedBytes + responses.usedBytes

    /** Opens the accounts of an exchange. */
    fun open() = ExchangeMemory(requests.open(), responses.open())

    companion object {
        /** Budgets that nothing exhausts. */
        fun unlimited() = BodyMemory(Long.MAX_VALUE, Long.MAX_VALUE)
    }
}

/** The accounts of one exchange. */
class ExchangeMemory(val request: MemoryBudget.Account, val response: MemoryBudget.Account) {
    private var holders = 1

    /** Adds a holder, for work that outlives the exchange; the accounts stay open until each has closed them. */
    fun retain() {
        holders += 1
    }

    /** Gives all bytes back once the last holder no longer needs the bodies. */
    fun close() {
        holders -= 1
        if (holders == 0) {
            request.close()
            response.close()
        }
    }
}

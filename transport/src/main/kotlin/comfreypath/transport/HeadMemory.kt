package comfreypath.transport

private const val CONNECTION_PARTS = 4
private const val ADDRESS_PARTS = 2

/** What became of bytes that were to be added to a head. */
internal enum class HeadGrowth {
    /** The bytes were added. */
    ADDED,

    /** The heads of the connection hold their part of the memory. */
    CONNECTION_FULL,

    /** The heads of the client address hold their part of the memory. */
    ADDRESS_FULL,

    /** All requests together hold the memory. */
    FULL,
}

/**
 * Bounds what the heads of requests hold: a quarter of [limitBytes] for each connection, and half of it for each client
 * address, of which a head may take no more than is left. The bytes are a part of the budget of request bodies, too.
 */
class HeadMemory(private val limitBytes: Long) {
    private val usedByAddress = HashMap<String, Long>()

    /** The number of client addresses that hold memory. */
    internal val addresses: Int get() = usedByAddress.size

    /** Opens the heads of one connection of the client at [address]. */
    internal fun open(address: String) = Connection(address)

    /** The memory that the heads of one connection hold. */
    inner class Connection internal constructor(private val address: String) {
        private var used = 0L

        internal fun open(account: MemoryBudget.Account) = Charge(account)

        private fun change(count: Long) {
            used += count
            val total = (usedByAddress[address] ?: 0) + count
            if (total == 0L) usedByAddress.remove(address) else usedByAddress[address] = total
        }

        /** The memory that one head holds, as a part of the account of its request. */
        inner class Charge internal constructor(private val account: MemoryBudget.Account) {
            private var closed = false

            /** The bytes held. */
            var bytes = 0L
                private set

            /** Adds [count] bytes, unless there is no room for all of them. */
            internal fun add(count: Int): HeadGrowth {
                val left = limitBytes / ADDRESS_PARTS - (usedByAddress[address] ?: 0) - count
                return when {
                    closed || used + count > limitBytes / CONNECTION_PARTS -> HeadGrowth.CONNECTION_FULL
                    bytes + count > left -> HeadGrowth.ADDRESS_FULL
                    !account.add(count) -> HeadGrowth.FULL
                    else -> {
                        bytes += count
                        change(count.toLong())
                        HeadGrowth.ADDED
                    }
                }
            }

            /** Gives all bytes back; those of the account remain until that is closed. */
            internal fun close() {
                closed = true
                change(-bytes)
                bytes = 0
            }
        }
    }
}

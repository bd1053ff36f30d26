package comfreypath.transport

/**
 * Bounds the bytes of bodies that a process holds at a time, for all its connections together.
 *
 * Each body has an [Account]. An account may grow while it holds no more than is left of the budget (the dynamic
 * thresholds of Choudhury and Hahne, 1998). However many long bodies arrive at once, room remains for short ones, and a
 * body without end stops at half of the budget. Confined to one event loop.
 *
 * @property limitBytes the maximum of all accounts together
 */
class MemoryBudget(private val limitBytes: Long) {
    /** The bytes that all accounts hold. */
    var usedBytes: Long = 0
        private set

    /** The bytes that no account holds; negative if some hold more than there was room for. */
    val leftBytes: Long get() = limitBytes - usedBytes

    /** Opens an account that holds nothing. */
    fun open(): Account = Account()

    /** The bytes that one body holds. */
    inner class Account internal constructor() {
        private var closed = false

        /** The bytes held. */
        var bytes: Long = 0
            private set

        /** Adds [count] bytes; returns false, and adds nothing, if there is no room or the account is closed. */
        fun add(count: Int): Boolean {
            val fits = fits(count)
            if (fits) change(count.toLong())
            return fits
        }

        /** True if [add] would add [count] bytes. */
        fun fits(count: Int): Boolean = !closed && (count == 0 || bytes + count <= leftBytes - count)

        /** Adds [count] bytes that are held already, although there may be no room. */
        internal fun hold(count: Int) {
            if (!closed) change(count.toLong())
        }

        /** True while it holds more than is left, so that it must not grow. An empty one may always grow. */
        internal val exceedsShare: Boolean get() = bytes > 0 && bytes > leftBytes

        /** Gives [count] bytes back that were added before. */
        fun remove(count: Int) {
            if (!closed) change(-count.toLong())
        }

        /** Gives all bytes back, once the body is no longer needed. */
        fun close() {
            change(-bytes)
            closed = true
        }

        private fun change(count: Long) {
            bytes += count
            usedBytes += count
        }
    }

    companion object {
        /** A budget that nothing exhausts. */
        fun unlimited() = MemoryBudget(Long.MAX_VALUE)
    }
}

package comfreypath.router.peers

import comfreypath.coordination.fleet.LoadMessage
import comfreypath.coordination.fleet.LoadScope
import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.model.InstanceName
import comfreypath.transport.MemoryBudget

/** What a message holds beside its lists, and for each character and each entry of a list. */
private const val MESSAGE_BYTES = 512
private const val BYTES_PER_CHARACTER = 4
private const val ENTRY_BYTES = 96

/** The parts of the memory of which peers that are not registered, which any sender can name, get one. */
private const val UNREGISTERED_PARTS = 2

/** The kinds of messages of which the latest one of each peer is kept. */
internal enum class MessageKind {
    /** A status message. */
    STATUS,

    /** The loads of a router. */
    ROUTER_LOADS,

    /** The sum of the loads of a data centre. */
    DATA_CENTRE_LOADS,

    /** The sum of the loads of all routers. */
    FLEET_LOADS,
    ;

    companion object {
        /** The kind of messages of loads that cover [scope]. */
        fun of(scope: LoadScope): MessageKind = when (scope) {
            LoadScope.ROUTER -> ROUTER_LOADS
            LoadScope.DATA_CENTRE -> DATA_CENTRE_LOADS
            LoadScope.FLEET -> FLEET_LOADS
        }
    }
}

/** Whose message takes the place of the one before. */
internal data class MessageSlot(val peer: InstanceName, val kind: MessageKind)

/**
 * Bounds the memory of the latest messages of all peers. A message takes the place of the one before in its slot. Room
 * is kept for peers that the store lists: those that it does not list hold half of it together.
 */
internal class PeerMemory(private val limitBytes: Long) {
    private class Held(val account: MemoryBudget.Account, val registered: Boolean) {
        val unregisteredBytes: Long get() = if (registered) 0 else account.bytes
    }

    private val budget = MemoryBudget(limitBytes)
    private val held = HashMap<MessageSlot, Held>()
    private var unregisteredBytes = 0L

    /** The bytes that all messages hold. */
    val usedBytes: Long get() = budget.usedBytes

    /** True if there is room for a message of [bytes] bytes in [slot]. */
    fun admits(slot: MessageSlot, bytes: Int, registered: Boolean): Boolean {
        val before = held[slot]
        val account = before?.account ?: budget.open()
        val unregistered = unregisteredBytes - (before?.unregisteredBytes ?: 0) + bytes
        return account.fits(bytes - account.bytes.toInt()) &&
            (registered || unregistered <= limitBytes / UNREGISTERED_PARTS)
    }

    /** Holds a message of [bytes] bytes, for which there is room, in [slot]. */
    fun hold(slot: MessageSlot, bytes: Int, registered: Boolean) {
        release(slot)
        val account = budget.open()
        if (account.add(bytes)) {
            held[slot] = Held(account, registered).also { unregisteredBytes += it.unregisteredBytes }
        }
    }

    /** Gives back what the messages of all peers but [known] hold. */
    fun retain(known: Set<InstanceName>) = held.keys.filter { it.peer !in known }.forEach(::release)

    private fun release(slot: MessageSlot) {
        val released = held.remove(slot) ?: return
        unregisteredBytes -= released.unregisteredBytes
        released.account.close()
    }
}

/** The memory that this status message of [size] bytes holds. */
internal fun PeerStatus.heldBytes(size: Int): Int {
    val reports = partReports.sumOf { 1 + it.crashes.size } + (rollouts?.reports?.size ?: 0)
    val entries = inFlight.counts.size + digests.size + (departures?.revisions?.size ?: 0) + reports + badVersions.size
    return MESSAGE_BYTES + BYTES_PER_CHARACTER * size + ENTRY_BYTES * entries
}

/** The memory that this message of [size] bytes holds. */
internal fun LoadMessage.heldBytes(size: Int): Int =
    MESSAGE_BYTES + BYTES_PER_CHARACTER * size + ENTRY_BYTES * inFlight.counts.size

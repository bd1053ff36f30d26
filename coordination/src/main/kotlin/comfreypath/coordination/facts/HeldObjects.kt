package comfreypath.coordination.facts

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import java.time.Duration
import java.time.Instant

private const val MAX_HOLD_SECONDS = 60L

/**
 * The operators' orders that stay in force although the copy from which the store came back lacks them.
 *
 * Answers the load in which the store loses the order to evacuate a data centre, or to roll a version out, and
 * requests would flow again until the operator has written it anew. An order is held until the store has it again,
 * until a change removes it, or for a limited time.
 *
 * @property since when each order was found to be missing, by name
 */
data class HeldObjects(val since: PersistentMap<String, Instant> = persistentMapOf()) {
    /** The names of the held orders. */
    val names: Set<String> get() = since.keys

    /** Learns that of the [known] orders the store lists [listed]; [newEra] if it has come back since the last list. */
    fun listed(known: Set<String>, listed: Set<String>, newEra: Boolean, now: Instant): HeldObjects {
        val kept = since.filterKeys { it !in listed }
        val lost = if (newEra) known.filter { it !in listed && it !in kept }.associateWith { now } else emptyMap()
        return HeldObjects((kept + lost).toPersistentMap())
    }

    /** Learns that the store has changed or removed the order called [name]. */
    fun without(name: String): HeldObjects = if (name in since) HeldObjects(since.remove(name)) else this

    /** Those that are held at [now]. */
    fun recent(now: Instant): HeldObjects =
        if (since.values.all { now < it + maxHold }) {
            this
        } else {
            HeldObjects(since.filterValues { now < it + maxHold }.toPersistentMap())
        }

    private companion object {
        /** Bounds the harm of an order that its operator has taken back meanwhile. */
        val maxHold: Duration = Duration.ofSeconds(MAX_HOLD_SECONDS)
    }
}

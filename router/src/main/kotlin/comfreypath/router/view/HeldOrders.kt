package comfreypath.router.view

import comfreypath.coordination.facts.HeldObjects
import comfreypath.router.RouterContext

/** Keeps and logs the orders of one kind that the store has lost, see [HeldObjects]. */
internal class HeldOrders(private val context: RouterContext, private val label: String) {
    private var held = HeldObjects()

    /** The names of the held orders. */
    val names: Set<String> get() = held.names

    /** Learns that of the [known] orders the store lists [listed], for the first time in an era if [newEra]. */
    fun listed(known: Set<String>, listed: Set<String>, newEra: Boolean) {
        val before = held.names
        held = held.listed(known, listed, newEra, context.now())
        (held.names - before).forEach { context.log.record("${label}_held", label to it) }
    }

    /** Learns that the store has changed or removed the order called [name]. */
    fun written(name: String) {
        held = held.without(name)
    }

    /** Returns the orders that were held for long enough, and holds them no longer. */
    fun release(): Set<String> {
        val before = held
        held = before.recent(context.now())
        return (before.names - held.names).onEach { context.log.record("${label}_released", label to it) }
    }
}

package comfreypath.coordination.routing

import comfreypath.coordination.model.EndpointName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import java.time.Duration
import java.time.Instant

private const val MEMORY_SECONDS = 30L

/**
 * The endpoints that have left lately, so that a copy of the store that shows them as usable is not believed.
 *
 * Answers the load in which the store loses the reports that servers are leaving, and all routers would send to them
 * again. An entry that equals the one from before the departure is the copy's; one that differs was written since.
 *
 * @property left the endpoints that have left, as they were registered before, with the time at which this was learned
 * @property held those that a copy shows as usable, with the time until which that is not believed
 */
data class DepartedEndpoints(
    val left: PersistentMap<Endpoint, Instant> = persistentMapOf(),
    val held: PersistentMap<EndpointName, Hold> = persistentMapOf(),
) {
    /** An [endpoint] as the copy shows it, which is not used before [until] unless its entry changes. */
    data class Hold(val endpoint: Endpoint, val until: Instant)

    /**
     * Learns of changes in one era of the store, from [before] to [after]. The endpoints in [kept] have no entry
     * because of an outage; they have not left.
     */
    fun changed(
        before: Map<EndpointName, Endpoint>,
        after: Map<EndpointName, Endpoint>,
        kept: Set<Endpoint>,
        now: Instant,
    ): DepartedEndpoints {
        val gone = before.values.filter { !it.draining && !after.isUsable(it.name) && it !in kept }
        val known = left + gone.associateWith { now }
        return DepartedEndpoints(
            left = known.filter { (endpoint, at) -> now < at + memory && !after.isUsable(endpoint.name) }
                .toPersistentMap(),
            held = held.filter { (name, hold) -> now < hold.until && after[name] == hold.endpoint }.toPersistentMap(),
        )
    }

    /** Learns of the list [after] in a new era; [before] was the last one of the era before. */
    fun listedAnew(
        before: Map<EndpointName, Endpoint>,
        heardLeft: Collection<Endpoint>,
        after: Map<EndpointName, Endpoint>,
        now: Instant,
    ): DepartedEndpoints {
        val departed = left.filterValues { now < it + memory }.keys + heardLeft
        val drained = before.values.filter { it.draining }.mapNotNull { old ->
            after[old.name]?.takeIf { !it.draining && it.copy(draining = true) == old }
        }
        val returned = (departed + drained + held.values.map { it.endpoint }).filter { after[it.name] == it }
        val holds = returned.associate { it.name to Hold(it, now + memory) }
        return copy(held = holds.toPersistentMap())
    }

    /** True if [endpoint] had left before the store came back, and nothing else has been written about it since. */
    fun holds(endpoint: Endpoint, now: Instant): Boolean =
        held[endpoint.name]?.let { it.endpoint == endpoint && now < it.until } ?: false

    private fun Map<EndpointName, Endpoint>.isUsable(name: EndpointName) = this[name]?.draining == false

    private companion object {
        /** Longer than a server goes on after its departure, and than the store keeps entries of silent servers. */
        val memory: Duration = Duration.ofSeconds(MEMORY_SECONDS)
    }
}

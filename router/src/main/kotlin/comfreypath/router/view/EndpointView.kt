package comfreypath.router.view

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.RemovalGrace
import comfreypath.coordination.routing.RemovalPolicy
import comfreypath.router.RouterContext
import java.time.Instant

/** The endpoints that may be used: those that are registered, and those whose entries lapsed with the store away. */
class EndpointView(private val context: RouterContext) {
    private val warmTimes = HashMap<EndpointName, WarmTime>()
    private var grace = RemovalGrace()
    private var known: Map<EndpointName, Endpoint> = emptyMap()
    private var byService: Map<ServiceName, List<Endpoint>> = emptyMap()

    /** The entries, by the endpoint's name. */
    val entries = KindView<Endpoint>(context, "endpoint")

    /** When the store answered again after the last outage; null before the first. */
    var storeRecoveredAt: Instant? = null

    private class WarmTime(val said: Endpoint, val at: Instant)

    init {
        entries.onChange(::entriesChanged)
    }

    private fun entriesChanged() {
        val current = entries.values.values.associateBy { it.name }
        val next = RemovalPolicy.changed(grace, known, current, storeRecoveredAt, context.now())
        (next.until.keys - grace.until.keys).forEach {
            context.log.record("endpoint_kept_without_entry", "endpoint" to it.name, "until" to next.until[it])
        }
        grace = next
        known = current
        byService = current.values.groupBy { it.service }
        warmTimes.keys.removeIf { it !in current }
        current.values.forEach { endpoint ->
            if (warmTimes[endpoint.name]?.said !== endpoint) {
                warmTimes[endpoint.name] = WarmTime(endpoint, context.now().plusMillis(endpoint.coldMilliseconds))
            }
        }
    }

    /** True while an endpoint is cold at [now], by its last report of how much longer it stays so. */
    fun isCold(endpoint: Endpoint, now: Instant): Boolean = warmTimes[endpoint.name]?.let { now < it.at } ?: false

    /** The endpoints of [service], draining ones among them. */
    fun forService(service: ServiceName): List<Endpoint> {
        val registered = byService[service].orEmpty()
        return if (grace.until.isEmpty()) {
            registered
        } else {
            registered + grace.usable(context.now()).filter { it.service == service }
        }
    }

    /** True when the endpoint called [name] may be used. */
    fun isUsable(name: EndpointName): Boolean =
        name in known || grace.usable(context.now()).any { it.name == name }
}

package comfreypath.router.view

import comfreypath.coordination.facts.Fact
import comfreypath.coordination.fleet.KindDigest
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.routing.Configuration
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Rollout
import comfreypath.coordination.routing.RouteTable
import comfreypath.coordination.routing.TeamDirectory
import comfreypath.router.RouterContext
import comfreypath.router.peers.KindCopy
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.RouterRecord
import java.time.Instant

/**
 * What this router knows of the deployment: everything that the platform's store said, with the time at which it was
 * last known to hold. The configuration in force only moves forward.
 */
class ClusterView(private val context: RouterContext) {
    /** The endpoints, by name. */
    val endpoints = KindView<Endpoint>(context, "endpoint")

    /** The rollouts, by the service's name. */
    val rollouts = KindView<Rollout>(context, "rollout")

    /** The data centres that are evacuated, by name. */
    val evacuations = KindView<DataCentreName>(context, "evacuation")

    /** The registered routers, by the instance's name. */
    val routers = KindView<RouterRecord>(context, "router")

    /** The configuration in force; null until one is known. */
    var configuration: Fact<Configuration>? = null
        private set

    /** The routes in force. */
    var routes = RouteTable(emptyList())
        private set

    /** The teams in force. */
    var teams = TeamDirectory(emptyList())
        private set

    private var configurationDocument = ""
    private val warmTimes = HashMap<EndpointName, WarmTime>()
    private var byService: Map<ServiceName, List<Endpoint>> = emptyMap()
    private var byServiceFor: Map<String, Endpoint>? = null

    private class WarmTime(val said: Endpoint, val at: Instant)

    init {
        endpoints.onChange(::noteWarmTimes)
    }

    /** Each report of a cold endpoint says how much longer it stays cold. */
    private fun noteWarmTimes() {
        warmTimes.keys.removeIf { it.text !in endpoints.values }
        endpoints.values.values.forEach { endpoint ->
            if (warmTimes[endpoint.name]?.said !== endpoint) {
                warmTimes[endpoint.name] = WarmTime(endpoint, context.now().plusMillis(endpoint.coldMilliseconds))
            }
        }
    }

    /** True while an endpoint is cold at [now] by its last report. */
    fun cold(endpoint: Endpoint, now: Instant): Boolean = warmTimes[endpoint.name]?.let { now < it.at } ?: false

    /** Takes a configuration as the store had it at [revision], no earlier than [confirmedAt]. */
    fun takeConfiguration(candidate: Configuration, revision: Long, confirmedAt: Instant, document: String) {
        val current = configuration
        if (current == null || candidate.version > current.value.version) {
            configurationDocument = document
        }
        when {
            current == null || candidate.version > current.value.version -> {
                configuration = Fact(candidate, revision, confirmedAt)
                routes = RouteTable(candidate.routes)
                teams = TeamDirectory(candidate.teams.orEmpty())
                context.metrics.configurationVersion.set(candidate.version.toDouble())
                context.log.record(
                    "configuration_applied",
                    "version" to candidate.version,
                    "previousVersion" to current?.value?.version,
                    "revision" to revision,
                    "routes" to candidate.routes.size,
                )
            }
            candidate.version == current.value.version && confirmedAt > current.confirmedAt ->
                configuration = current.copy(revision = maxOf(revision, current.revision), confirmedAt = confirmedAt)
        }
    }

    /** What this router can pass on of the configuration; null while it knows none. */
    fun configurationCopy(): KindCopy? = configuration?.let {
        KindCopy(it.revision, it.age(context.now()).toMillis() + 1, listOf(configurationDocument))
    }

    /** Takes in that the configuration in force was still the newest at [confirmedAt]. */
    fun confirmConfiguration(confirmedAt: Instant) {
        configuration?.let { if (confirmedAt > it.confirmedAt) configuration = it.copy(confirmedAt = confirmedAt) }
    }

    /** The endpoints of [service] that are registered, draining ones among them. */
    fun endpointsOf(service: ServiceName): List<Endpoint> {
        if (byServiceFor !== endpoints.values) {
            byServiceFor = endpoints.values
            byService = endpoints.values.values.groupBy { it.service }
        }
        return byService[service].orEmpty()
    }

    /** What this router knows of each followed kind, by the kind's code. */
    fun digests(): Map<String, KindDigest> = listOf(
        ObjectKinds.ENDPOINTS to endpoints,
        ObjectKinds.ROLLOUTS to rollouts,
        ObjectKinds.EVACUATIONS to evacuations,
        ObjectKinds.ROUTERS to routers,
    ).mapNotNull { (kind, known) -> known.digest?.let { kind.code to it } }.toMap()

    /** The endpoint called [name], or null. */
    fun endpoint(name: EndpointName): Endpoint? = endpoints.values[name.text]
}

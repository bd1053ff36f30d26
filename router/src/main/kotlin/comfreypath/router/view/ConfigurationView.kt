package comfreypath.router.view

import comfreypath.coordination.facts.Fact
import comfreypath.coordination.facts.SuspensionDetector
import comfreypath.coordination.invariant.Invariant
import comfreypath.coordination.routing.Configuration
import comfreypath.coordination.routing.RouteTable
import comfreypath.coordination.routing.TeamDirectory
import comfreypath.router.RouterContext
import comfreypath.router.peers.KindSnapshot
import java.time.Duration
import java.time.Instant

/** The configuration in force, with the time at which it was last known to be the newest one. It only moves forward. */
class ConfigurationView(private val context: RouterContext) {
    private var document = ""
    private var suspension = SuspensionDetector(Duration.between(context.now(), Instant.now()))

    /** What was proved before this counts no more. */
    private var provenSince: Instant = Instant.MIN

    /** The configuration in force; null until one is known. */
    var current: Fact<Configuration>? = null
        private set

    /** The routes in force. */
    var routes = RouteTable(emptyList())
        private set

    /** The teams in force. */
    var teams = TeamDirectory(emptyList())
        private set

    private val listeners = mutableListOf<() -> Unit>()

    /** Calls [listener] after each change. */
    fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    /** True when requests need the key of a team, unless their route is public. */
    val requiresKeys: Boolean get() = current?.value?.teams != null

    /** How long ago the configuration in force may have been replaced; null while none is known. */
    fun age(): Duration? = current?.age(context.now())

    /** Takes a configuration as the store had it at [revision], no earlier than [confirmedAt]. */
    fun update(candidate: Configuration, revision: Long, confirmedAt: Instant, document: String) {
        val before = current
        if (before == null || candidate.version > before.value.version) {
            this.document = document
            apply(candidate, revision, maxOf(confirmedAt, before?.confirmedAt ?: Instant.MIN))
        } else if (candidate.version == before.value.version) {
            confirm(confirmedAt)
        } else {
            context.log.record(
                "configuration_ignored",
                "version" to candidate.version,
                "inForce" to before.value.version,
                "revision" to revision,
            )
        }
    }

    private fun apply(candidate: Configuration, revision: Long, confirmedAt: Instant) {
        val before = current?.value?.version
        current = Fact(candidate, revision, if (confirmedAt < provenSince) Instant.EPOCH else confirmedAt)
        routes = RouteTable(candidate.routes)
        teams = TeamDirectory(candidate.teams.orEmpty())
        context.metrics.configurationVersion.set(candidate.version.toDouble())
        context.monitor.check(Invariant.CONFIGURATION_FORWARD, before == null || candidate.version > before) {
            "the configuration went from $before back to ${candidate.version}"
        }
        context.log.record(
            "configuration_applied",
            "version" to candidate.version,
            "previousVersion" to before,
            "revision" to revision,
            "ageMs" to current?.age(context.now())?.toMillis(),
            "routes" to candidate.routes.size,
            "teams" to candidate.teams?.size,
        )
        listeners.forEach { it() }
    }

    /** Takes in that the configuration in force was still the newest at [confirmedAt]. */
    fun confirm(confirmedAt: Instant) {
        val known = current
        if (known != null && confirmedAt > known.confirmedAt && confirmedAt >= provenSince) {
            current = known.copy(confirmedAt = confirmedAt)
        }
    }

    /**
     * Notices that the instance was suspended, or that its time of day jumped: what was proved before counts no more.
     */
    fun checkClocks() {
        val (next, apart) = suspension.read(context.now(), Instant.now())
        if (apart) {
            provenSince = context.now()
            current = current?.copy(confirmedAt = Instant.EPOCH)
            context.log.record("clocks_apart", "byMs" to next.offset.minus(suspension.offset).toMillis())
        }
        suspension = next
    }

    /** What this router can pass on; null while it knows no configuration. */
    fun snapshot(): KindSnapshot? = current?.let {
        KindSnapshot(it.revision, it.age(context.now()).toMillis() + 1, listOf(document))
    }
}

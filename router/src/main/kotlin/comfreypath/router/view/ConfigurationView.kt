package comfreypath.router.view

import comfreypath.coordination.facts.ConfirmedValue
import comfreypath.coordination.facts.StoreVersion
import comfreypath.coordination.facts.SuspensionDetector
import comfreypath.coordination.invariant.Invariant
import comfreypath.coordination.routing.Configuration
import comfreypath.coordination.routing.RouteTable
import comfreypath.coordination.routing.TeamDirectory
import comfreypath.router.RouterContext
import comfreypath.router.peers.KindSnapshot
import java.time.Duration
import java.time.Instant

private const val REWRITE_MILLISECONDS = 1_000L

/** The configuration in force and when it was last confirmed to be current. Its version never decreases. */
class ConfigurationView(private val context: RouterContext) {
    private var document = ""
    private var suspension = SuspensionDetector(Duration.between(context.now(), Instant.now()))

    /** Confirmations dated before this time are ignored. */
    private var minConfirmedAt: Instant = Instant.MIN

    /** The highest era of the store that is known; null before the first. */
    private var era: Long? = null

    /**
     * Confirmations dated before this time are ignored: in a new era the store may lack a configuration that it had
     * acknowledged, until its operator has written it again.
     */
    private var rewrittenAt: Instant = Instant.MIN

    /** True while the store has come back with an older configuration than the one in force, or with none. */
    private var storeIsOlder = false

    /** The configuration in force; null until the first one is known. */
    var current: ConfirmedValue<Configuration>? = null
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

    /** True if requests need a team's key, unless their route is public. */
    val requiresKeys: Boolean get() = current?.value?.teams != null

    /** The time since the configuration was last confirmed to be current; null while none is known. */
    fun age(): Duration? = current?.age(context.now())

    /**
     * Applies [candidate] if its version is newer than the one in force. An equal version confirms the one in force; an
     * older version is ignored. The store held the candidate at [revision], no earlier than [confirmedAt].
     */
    fun update(candidate: Configuration, revision: Long, confirmedAt: Instant, document: String) {
        val previous = current
        learnEra(StoreVersion(revision).era)
        compareWithStore(candidate.version, revision)
        if (previous == null || candidate.version > previous.value.version) {
            this.document = document
            apply(candidate, revision, maxOf(confirmedAt, previous?.confirmedAt ?: Instant.MIN))
        } else if (candidate.version == previous.value.version) {
            if (StoreVersion(revision).era == era) {
                current = previous.copy(revision = maxOf(revision, previous.revision))
                confirm(confirmedAt)
            }
        } else {
            context.log.record(
                "configuration_ignored",
                "version" to candidate.version,
                "inForce" to previous.value.version,
                "revision" to StoreVersion.label(revision),
            )
        }
    }

    private fun apply(candidate: Configuration, revision: Long, confirmedAt: Instant) {
        val previous = current?.value?.version
        // In a new era, a newer configuration is as fresh as the one before: there may be a still newer one.
        val dated = if (confirmedAt < rewrittenAt) current?.confirmedAt ?: confirmedAt else confirmedAt
        current = ConfirmedValue(candidate, revision, if (dated < minConfirmedAt) Instant.EPOCH else dated)
        routes = RouteTable(candidate.routes)
        teams = TeamDirectory(candidate.teams.orEmpty())
        context.metrics.configurationVersion.set(candidate.version.toDouble())
        context.monitor.check(Invariant.CONFIGURATION_FORWARD, previous == null || candidate.version > previous) {
            "the configuration went from $previous back to ${candidate.version}"
        }
        context.log.record(
            "configuration_applied",
            "version" to candidate.version,
            "previousVersion" to previous,
            "revision" to StoreVersion.label(revision),
            "ageMs" to current?.age(context.now())?.toMillis(),
            "routes" to candidate.routes.size,
            "teams" to candidate.teams?.size,
        )
        listeners.forEach { it() }
    }

    /** Learns of an era of the store. In a new one, confirmations count once the operator has had time to write. */
    fun learnEra(known: Long) {
        val before = era
        if (before == null || known > before) {
            era = known
            if (before != null) rewrittenAt = context.now() + REWRITE_TIME
        }
    }

    /** Records that the store, at [revision], had the configuration of [version], or none if it is null. */
    fun compareWithStore(version: Long?, revision: Long) {
        val inForce = current ?: return
        val newer = StoreVersion(revision).era > StoreVersion(inForce.revision).era
        val older = newer && (version == null || version < inForce.value.version)
        if (older && !storeIsOlder) {
            context.log.record(
                "configuration_lost_by_store",
                "inForce" to inForce.value.version,
                "version" to version,
                "era" to StoreVersion(revision).era,
            )
        }
        if (StoreVersion(revision).era == era) storeIsOlder = older
    }

    /** Records that the store had no change of the configuration at [revision], no earlier than [confirmedAt]. */
    fun confirmByStore(revision: Long, confirmedAt: Instant) {
        learnEra(StoreVersion(revision).era)
        if (!storeIsOlder && StoreVersion(revision).era == era) confirm(confirmedAt)
    }

    /** Records that the configuration in force was still current at [confirmedAt]. */
    fun confirm(confirmedAt: Instant) {
        val known = current
        val earliest = maxOf(minConfirmedAt, rewrittenAt)
        if (known != null && confirmedAt > known.confirmedAt && confirmedAt >= earliest) {
            current = known.copy(confirmedAt = confirmedAt)
        }
    }

    /**
     * Checks whether the instance was suspended or its wall clock jumped; if so, earlier confirmations no longer count.
     */
    fun checkClocks() {
        val (next, diverged) = suspension.compareClocks(context.now(), Instant.now())
        if (diverged) {
            minConfirmedAt = context.now()
            current = current?.copy(confirmedAt = Instant.EPOCH)
            context.log.record("clocks_apart", "byMs" to next.offset.minus(suspension.offset).toMillis())
        }
        suspension = next
    }

    /** The configuration to pass on to peers; null while none is known. */
    fun snapshot(): KindSnapshot? = current?.let {
        KindSnapshot(it.revision, it.age(context.now()).toMillis() + 1, listOf(document))
    }

    private companion object {
        /** How long the operator may take to write again what the store has lost. */
        val REWRITE_TIME: Duration = Duration.ofMillis(REWRITE_MILLISECONDS)
    }
}

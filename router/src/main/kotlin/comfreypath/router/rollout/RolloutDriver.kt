package comfreypath.router.rollout

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import comfreypath.coordination.facts.StoreVersion
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.rollout.RolloutAction
import comfreypath.coordination.rollout.RolloutController
import comfreypath.coordination.rollout.RolloutEvent
import comfreypath.coordination.rollout.RolloutProgress
import comfreypath.coordination.rollout.VersionVerdict
import comfreypath.coordination.routing.Rollout
import comfreypath.router.RouterContext
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.StoreError
import comfreypath.router.store.StoredObject
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.time.Instant

/**
 * The store's object of a rollout.
 *
 * @property badVersions the versions of a service that were found to be bad, which are recorded with the progress
 */
internal class RolloutObject(val name: String, val badVersions: (ServiceName) -> Set<VersionName>)

/**
 * Executes the actions of the [RolloutController] for one rollout, and logs its decisions.
 *
 * @param target the rollout's object
 * @param announce sends a status message to all peers soon if the argument is true
 */
internal class RolloutDriver(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val target: RolloutObject,
    order: Rollout,
    revision: Long,
    private val announce: (Boolean) -> Unit,
) {
    private val controller get() = RolloutController(context.options.bounds.rollouts)
    private var closed = false

    /** The rollout as this router knows it. */
    var progress: RolloutProgress = controller.start(order, revision, context.now())
        private set

    /** When this router learned that the rollout was completed or rolled back; long ago if it never saw it open. */
    var closedAt: Instant = Instant.EPOCH
        private set

    /** True if an endpoint of the target could take requests at the last tick. */
    var targetUsable: Boolean = false
        private set

    init {
        logOrder()
    }

    /** Applies [event] and performs the actions that follow. */
    fun step(event: RolloutEvent) {
        if (closed) {
            return
        }
        if (event is RolloutEvent.Tick) {
            targetUsable = event.targetUsable
        }
        val before = progress
        val next = controller.step(before, event, context.now())
        progress = next.state
        logChanges(before, event)
        next.actions.forEach { action ->
            when (action) {
                is RolloutAction.Write -> call(RolloutEvent.WriteNotConfirmed) { write(action) }
                RolloutAction.Read -> call(RolloutEvent.ReadFailed) { read() }
                RolloutAction.Announce -> announce(true)
            }
        }
    }

    /** Ends the rollout, since its object was removed. */
    fun close() {
        closed = true
        context.metrics.rolloutHeld.labelValues(progress.order.service.text).set(0.0)
        context.log.record("rollout_removed", "service" to progress.order.service, "target" to progress.order.target)
    }

    /** Calls the store in the background; a call that fails unexpectedly ends with [failure], and is logged. */
    private fun call(failure: RolloutEvent, storeCall: suspend () -> RolloutEvent) {
        context.scope.launch(CoroutineName("call rollout")) {
            var event = failure
            try {
                event = storeCall()
            } finally {
                if (isActive) step(event)
            }
        }
    }

    private suspend fun write(action: RolloutAction.Write): RolloutEvent {
        val value = action.order.copy(
            state = action.state,
            stateTarget = action.order.target,
            badVersions = (target.badVersions(action.order.service) - action.order.target).toImmutableSet(),
        )
        val result = store.replaceStatus(ObjectKinds.ROLLOUTS, target.name, value, action.expectedRevision)
        record(
            "rollout_write",
            "state" to action.state,
            "expectedRevision" to StoreVersion.label(action.expectedRevision),
            result.outcome()
        )
        val written = result.fold({ it }, { null })
        return written?.let { toWriteDone(it) } ?: RolloutEvent.WriteNotConfirmed
    }

    private suspend fun read(): RolloutEvent {
        val result = store.read(ObjectKinds.ROLLOUTS, target.name)
        record("rollout_read", result.outcome())
        val stored = result.fold({ it }, { null })
        return stored?.let { toWriteDone(it) } ?: RolloutEvent.ReadFailed
    }

    private fun toWriteDone(stored: StoredObject<Rollout>): RolloutEvent? =
        stored.value.fold({ RolloutEvent.WriteDone(it, stored.revision) }, { null })

    private fun Result<*, StoreError>.outcome() = "outcome" to fold({ "answered" }, { it })

    private fun logOrder() = record(
        "rollout_ordered",
        "durationMs" to progress.order.duration.toMillis(),
        "state" to progress.recorded,
    )

    private fun logChanges(before: RolloutProgress, event: RolloutEvent) {
        val orderChanged =
            before.order.target != progress.order.target || before.order.duration != progress.order.duration
        if (orderChanged) {
            logOrder()
        } else if (before.recorded != progress.recorded) {
            record("rollout_state", "state" to progress.recorded)
            closedAt = if (progress.open) closedAt else context.now()
        }
        if (before.verdict != progress.verdict) {
            val worst = progress.judge.worst
            record(
                "rollout_verdict",
                "verdict" to progress.verdict,
                "from" to (event as? RolloutEvent.ReportReceived)?.from,
                "aspect" to worst?.key?.aspect,
                "score" to worst?.value,
                "responses" to progress.judge.responses,
                "requests" to progress.quota.total.requests,
                "canaries" to progress.quota.total.canaries,
            )
            val held = progress.verdict == VersionVerdict.BAD
            context.metrics.rolloutHeld.labelValues(progress.order.service.text).set(if (held) 1.0 else 0.0)
        }
    }

    private fun record(event: String, vararg fields: Pair<String, Any?>) = context.log.record(
        event,
        "service" to progress.order.service,
        "target" to progress.order.target,
        "revision" to StoreVersion.label(progress.revision),
        "ageMs" to progress.age(context.now()).toMillis(),
        *fields,
    )
}

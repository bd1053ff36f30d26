package comfreypath.coordination.room

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import java.time.Duration
import java.time.Instant
import kotlin.math.exp

/** Flows beyond this number are counted together with the flow of their priority without a team. */
private const val MAX_FLOWS = 256
private const val MAX_KINDS = 128
private const val MAX_RETURNS = 4_096
private const val SIZE_WEIGHT = 0.05

/** The latency budgets that callers tell vary little; the longest one fades so that a single one does not last. */
private const val BUDGET_FADE = 0.02

/**
 * What one router knows of the work that is offered to a service. Bounded, and lost at a restart without harm.
 *
 * @property startedAt the time of the first request
 * @property at the time of the last request
 * @property correction the part of the work to turn away beyond what the offered work and the room tell
 * @property own the mean number of this router's requests in progress, weighted towards now
 * @property fleet the same mean for all routers
 * @property flows the work that each flow offers
 * @property kinds the kinds of requests, by route
 * @property returns the callers that were told to come back, by identity
 */
data class RoomState(
    val startedAt: Instant? = null,
    val at: Instant? = null,
    val correction: Double = 0.0,
    val own: Double = 0.0,
    val fleet: Double = 0.0,
    val flows: PersistentMap<Flow, FlowState> = persistentHashMapOf(),
    val kinds: PersistentMap<String, KindState> = persistentHashMapOf(),
    val returns: PersistentMap<Long, ExpectedReturn> = persistentHashMapOf(),
) {
    /** The work per time that each flow offers at [now], in slots; [memory] is the time over which it is measured. */
    internal fun offeredRates(now: Instant, memory: Duration): Map<Flow, Double> {
        val elapsed = Duration.between(startedAt ?: now, now).toMillis() / memory.toMillis().toDouble()
        val span = memory.toMillis() * (1 - exp(-maxOf(elapsed, MIN_SPAN)))
        return flows.mapValues { (_, flow) -> flow.offered * fade(flow.at, now, memory) / span }
    }

    /** The mean work of a request at [now], in milliseconds of a slot; null before the first request. */
    internal fun meanWork(now: Instant, memory: Duration): Double? {
        val faded = flows.values.map { it to fade(it.at, now, memory) }
        val count = faded.sumOf { (flow, factor) -> flow.count * factor }
        return if (count > 0.0) faded.sumOf { (flow, factor) -> flow.offered * factor } / count else null
    }

    /** The state after a request of [flow] that needs [work]. */
    internal fun withOffer(flow: Flow, work: Double, now: Instant, memory: Duration): RoomState {
        val key = if (flow in flows || flows.size < MAX_FLOWS) flow else flow.copy(team = null)
        val known = flows[key] ?: FlowState(now)
        val faded = fade(known.at, now, memory)
        val offered = known.copy(offered = known.offered * faded + work, count = known.count * faded + 1, at = now)
        return copy(startedAt = startedAt ?: now, at = now, flows = flows.put(key, offered))
    }

    /** The state after [request] has told its size, its budget and how much it can wait. */
    internal fun withKind(request: RoomRequest, slack: Duration, now: Instant): RoomState {
        val known = kinds[request.kind] ?: KindState().takeIf { kinds.size < MAX_KINDS } ?: return this
        val size = request.size ?: 1.0
        val mean = if (known.size == 0.0) size else known.size + SIZE_WEIGHT * (size - known.size)
        val budget = request.budget?.toMillis() ?: 0
        val longest = maxOf(budget, known.budget + (BUDGET_FADE * (budget - known.budget)).toLong())
        return copy(kinds = kinds.put(request.kind, KindState(mean, longest, slack, now)))
    }

    /** The state in which the caller with [identity] is expected; unchanged if too many are. */
    internal fun withReturn(identity: Long?, expected: ExpectedReturn, now: Instant): RoomState {
        if (identity == null) return this
        val kept = if (returns.size < MAX_RETURNS) {
            returns
        } else {
            returns.builder().apply { entries.removeIf { it.value.until < now } }.build()
        }
        return if (kept.size < MAX_RETURNS) copy(returns = kept.put(identity, expected)) else copy(returns = kept)
    }

    /** The state in which the caller with [identity] is no longer expected. */
    internal fun withoutReturn(identity: Long?): RoomState =
        if (identity == null || identity !in returns) this else copy(returns = returns.remove(identity))

    internal companion object {
        /** The shortest time, relative to the memory, over which a rate is measured. */
        const val MIN_SPAN = 0.05

        fun fade(since: Instant, now: Instant, memory: Duration): Double =
            exp(-Duration.between(since, now).toMillis().coerceAtLeast(0) / memory.toMillis().toDouble())
    }
}

/**
 * The work that one team offers at one priority.
 *
 * @property at the time of the last request
 * @property offered the work of the requests so far, in milliseconds of a slot, less what has faded
 * @property count the number of these requests, less what has faded
 * @property credit the work that may be sent before further requests must wait; negative after others went first
 * @property nextReturn when the next caller that is told to come back should do so
 */
data class FlowState(
    val at: Instant,
    val offered: Double = 0.0,
    val count: Double = 0.0,
    val credit: Double = 0.0,
    val nextReturn: Instant = at,
)

/**
 * The requests of one route.
 *
 * @property size the mean size of a request
 * @property budget how long callers of first attempts wait, in milliseconds; 0 if they do not tell
 * @property slack how long a request may wait and still be on time
 * @property at the time of the last request
 */
data class KindState(
    val size: Double = 0.0,
    val budget: Long = 0,
    val slack: Duration = Duration.ZERO,
    val at: Instant = Instant.EPOCH,
)

/**
 * A caller that was told to come back.
 *
 * @property since when its first attempt came
 * @property due when the caller was told to come back
 * @property until when the caller gives up
 */
data class ExpectedReturn(val since: Instant, val due: Instant, val until: Instant)

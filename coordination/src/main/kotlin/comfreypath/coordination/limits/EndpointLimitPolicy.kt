package comfreypath.coordination.limits

import comfreypath.coordination.availability.Incarnation
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import java.time.Duration
import java.time.Instant
import kotlin.math.abs

/**
 * The request rate that one incarnation takes from all routers.
 *
 * @property rate requests per second
 * @property adoptedAt when a response with this rate first arrived
 * @property namedAt when a response with any rate last arrived
 * @property bucket the requests that this router may send
 * @property trialAt when this router last sent a request, so that its next trial is not due
 * @property absentSince since when the incarnation has had no entry; null while it has one
 */
data class EndpointLimit(
    val rate: Double,
    val adoptedAt: Instant,
    val namedAt: Instant,
    val bucket: TokenBucket,
    val trialAt: Instant,
    val absentSince: Instant? = null,
)

/** The request rates that endpoints have named in their responses to one router. */
data class EndpointLimits(val byIncarnation: PersistentMap<Incarnation, EndpointLimit> = persistentHashMapOf()) {
    /** True if no endpoint has a limit. */
    val isEmpty: Boolean get() = byIncarnation.isEmpty()
}

/**
 * Keeps a router's requests to endpoints within its share of the rates that these take from all routers.
 *
 * Answers the load of a server in need, which asks all routers together for fewer requests. Times are readings of a
 * steady clock. Responses may arrive in another order than they were sent in. Therefore a higher rate, or none, counts
 * only in the response to a request that was sent after the rate in force was known; a lower one counts at once.
 */
class EndpointLimitPolicy(private val options: EndpointLimitOptions = EndpointLimitOptions()) {
    /** The time from [now] until a router with this [share] may send a request to [incarnation]; zero if it may now. */
    fun waitTime(state: EndpointLimits, incarnation: Incarnation, share: LimitShare, now: Instant): Duration {
        val limit = state.byIncarnation[incarnation]
        return when {
            limit == null -> Duration.ZERO
            share is LimitShare.Rate -> limit.bucket.withRate(share.perSecond, now).waitTime(now)
            share is LimitShare.Trials -> untilTrial(limit, share, now)
            else -> Duration.ZERO
        }
    }

    /** A trial that is not made in its window is skipped, so that idle routers don't save up trials together. */
    private fun untilTrial(limit: EndpointLimit, share: LimitShare.Trials, now: Instant): Duration {
        val interval = share.interval.toMillis().coerceAtLeast(1)
        val offset = (now.toEpochMilli() + (share.phase * interval).toLong()).mod(interval)
        val window = minOf(options.trialWindow.toMillis(), interval)
        val begin = now.minusMillis(offset)
        return if (offset < window && limit.trialAt < begin) Duration.ZERO else Duration.ofMillis(interval - offset)
    }

    /** The state after [event] at [now], and the changes that it brings. */
    fun after(
        state: EndpointLimits,
        event: EndpointLimitEvent,
        now: Instant,
    ): Pair<EndpointLimits, List<EndpointLimitChange>> = when (event) {
        is EndpointLimitEvent.RateNamed -> named(state, event, now)
        is EndpointLimitEvent.NoRateNamed -> notNamed(state, event)
        is EndpointLimitEvent.Sent -> sent(state, event, now) to emptyList()
        is EndpointLimitEvent.EntriesSeen -> entriesSeen(state, event, now)
    }

    private fun named(
        state: EndpointLimits,
        event: EndpointLimitEvent.RateNamed,
        now: Instant,
    ): Pair<EndpointLimits, List<EndpointLimitChange>> {
        val rate = event.rate.coerceIn(0.0, options.maxRate)
        val known = state.byIncarnation[event.incarnation]
        val next = when {
            known == null -> EndpointLimit(rate, now, now, emptyBucket(now), now)
            rate < known.rate || rate > known.rate && event.sentAt > known.adoptedAt ->
                known.copy(rate = rate, adoptedAt = now, namedAt = now)
            else -> known.copy(namedAt = now)
        }
        val change = EndpointLimitChange.Limited(event.incarnation, next.rate, known?.rate)
        val reported = known == null || abs(next.rate - known.rate) > known.rate * options.minReportedChange
        return put(state, event.incarnation, next, listOfNotNull(change.takeIf { reported }))
    }

    private fun notNamed(
        state: EndpointLimits,
        event: EndpointLimitEvent.NoRateNamed,
    ): Pair<EndpointLimits, List<EndpointLimitChange>> {
        val known = state.byIncarnation[event.incarnation]
        return if (known == null || event.sentAt <= known.namedAt) {
            state to emptyList()
        } else {
            EndpointLimits(state.byIncarnation.remove(event.incarnation)) to
                listOf(EndpointLimitChange.Ended(event.incarnation, known.rate, LimitEnd.NOT_NAMED))
        }
    }

    private fun sent(state: EndpointLimits, event: EndpointLimitEvent.Sent, now: Instant): EndpointLimits {
        val known = state.byIncarnation[event.incarnation] ?: return state
        val share = event.share
        val bucket = if (share is LimitShare.Rate) known.bucket.withRate(share.perSecond, now) else known.bucket
        val next = known.copy(bucket = bucket.acquire(now), trialAt = now)
        return EndpointLimits(state.byIncarnation.put(event.incarnation, next))
    }

    /** The state at [now] with the [share] of this router in the limit of [incarnation]. */
    fun withShare(state: EndpointLimits, incarnation: Incarnation, share: LimitShare, now: Instant): EndpointLimits {
        val known = state.byIncarnation[incarnation]
        val rate = (share as? LimitShare.Rate)?.perSecond ?: 0.0
        return if (known == null || known.bucket.ratePerSecond == rate) {
            state
        } else {
            val next = known.copy(bucket = known.bucket.withRate(rate, now))
            EndpointLimits(state.byIncarnation.put(incarnation, next))
        }
    }

    /** Adds a limit; the one that matters least is dropped if there are too many. */
    private fun put(
        state: EndpointLimits,
        incarnation: Incarnation,
        limit: EndpointLimit,
        changes: List<EndpointLimitChange>,
    ): Pair<EndpointLimits, List<EndpointLimitChange>> {
        val added = state.byIncarnation.put(incarnation, limit)
        val evicted = if (added.size > options.maxLimits) leastImportant(added, incarnation) else null
        return if (evicted == null) {
            EndpointLimits(added) to changes
        } else {
            val ended = EndpointLimitChange.Ended(evicted.key, evicted.value.rate, LimitEnd.EVICTED)
            EndpointLimits(added.remove(evicted.key)) to changes + ended
        }
    }

    /** An incarnation without an entry, the longest first; else the one that was heard from the longest ago. */
    private fun leastImportant(limits: Map<Incarnation, EndpointLimit>, added: Incarnation) =
        limits.entries.filter { it.key != added }
            .minWithOrNull(compareBy({ it.value.absentSince ?: Instant.MAX }, { it.value.namedAt }))

    private fun entriesSeen(
        state: EndpointLimits,
        event: EndpointLimitEvent.EntriesSeen,
        now: Instant,
    ): Pair<EndpointLimits, List<EndpointLimitChange>> {
        val seen = state.byIncarnation.mapValues { (incarnation, known) ->
            known.copy(absentSince = if (event.isRegistered(incarnation)) null else known.absentSince ?: now)
        }
        val gone = seen.filter { (incarnation, limit) ->
            val absentSince = limit.absentSince
            absentSince != null && (incarnation.startedAt == null || now >= absentSince + options.absentRetention)
        }
        val next = state.byIncarnation.builder().apply {
            seen.forEach { (incarnation, limit) -> if (limit != this[incarnation]) this[incarnation] = limit }
            gone.keys.forEach { remove(it) }
        }.build()
        val changes = gone.map { (incarnation, limit) ->
            EndpointLimitChange.Ended(incarnation, limit.rate, LimitEnd.ENTRY_GONE)
        }
        return EndpointLimits(next) to changes
    }
}

/** A router that learns of a limit has just sent requests, so that it begins without any saved up. */
private fun emptyBucket(now: Instant) = TokenBucket(ratePerSecond = 0.0, burst = 1.0, tokens = 0.0, filledAt = now)

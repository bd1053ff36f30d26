package comfreypath.router.view

import com.github.michaelbull.result.fold
import comfreypath.coordination.facts.StoreVersion
import comfreypath.coordination.fleet.KindDigest
import comfreypath.coordination.fleet.PeerAddress
import comfreypath.coordination.fleet.WatchSchedule
import comfreypath.router.RouterContext
import comfreypath.router.launchLoop
import comfreypath.router.store.ObjectKind
import comfreypath.router.store.ObjectPage
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.StoreError
import comfreypath.router.store.StoreReachability
import comfreypath.router.store.StoredObject
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.core.source64.SplitMix64
import java.time.Duration
import java.time.Instant

/** The delay between a change and the next watch. Changes come in bursts; the next call returns the rest of a burst. */
private const val BATCHING_MILLISECONDS = 120L

/** Small, since the waits of the data centres follow each other. */
private const val WATCH_JITTER = 0.1

private const val MAX_LAG_MILLISECONDS = 400L

/** How long a peer may be ahead before this router's own watch counts as stalled. */
private val MAX_LAG: Duration = Duration.ofMillis(MAX_LAG_MILLISECONDS)

/**
 * The decisions and callbacks that a [StoreFollower] gets from its owner.
 *
 * @property shouldWatch true while this router is to watch the store itself
 * @property startsFrom how the objects are first read
 * @property peersHeard false until peers have had the time to say which of them watch the store
 * @property maxWait how long a watch may stay open without a change; true is passed after a list or a change
 * @property fetchFromPeer fetches a snapshot from the given peer, or from any peer that is ahead if null
 * @property reachability records the outcomes of the calls
 */
class FollowerHooks(
    val shouldWatch: () -> Boolean,
    val maxWait: (afterChange: Boolean) -> Duration,
    val fetchFromPeer: suspend (PeerAddress?) -> Unit,
    val reachability: StoreReachability,
    val startsFrom: FirstRead = FirstRead.WATCH,
    val peersHeard: () -> Boolean = { true },
)

/** How a [StoreFollower] first reads the objects of its kind. */
enum class FirstRead {
    /** By a list that may be some seconds old, which all routers may afford; a watch returns what it lacks. */
    STALE_LIST,

    /** By the list of the first watch, or from a peer. */
    WATCH,
}

/**
 * Keeps a [StoreSink] up to date with the objects of one kind. While this router is to watch the store, it lists the
 * objects and then watches from the list's revision; otherwise it fetches snapshots from peers that are ahead.
 *
 * At the start of a fleet no router has heard from a peer. If each watched the store until then, the calls would grow
 * with the square of the fleet, since each start is a change. So followers wait for [FollowerHooks.peersHeard].
 *
 * Backoff and watch times have jitter, so that the routers do not all call the store at the same moment. A watch on a
 * half-open connection is made again on a new one when it is overdue, see [RenewedWatch], or if peers are ahead, see
 * [compare].
 */
class StoreFollower<T : Any>(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val kind: ObjectKind<T>,
    private val sink: StoreSink<T>,
    private val hooks: FollowerHooks,
) {
    private val random: UniformRandomProvider =
        SplitMix64((context.options.name.text + kind.label).hashCode().toLong())
    private var failures = 0

    /** The number of passes in a row that failed because an update could not be applied. */
    private var failedPasses = 0
    private var unavailableSince: Instant? = null
    private var watchJob: Job? = null

    /** The revision of a stale list from which to watch; null if there is none or if it was long ago. */
    private var listedRevision: Long? = null
    private var behindSince: Instant? = null

    /** The latest digest of a peer that was ahead. */
    private var ahead: KindDigest? = null

    /** Makes the watches. */
    internal val watching =
        RenewedWatch(context, store, kind, WatchSchedule.silence, hooks.reachability::recordSilence)
    private val catchUp = CatchUp(
        context = context,
        isBehind = { ahead?.let { sink.digest?.isBehind(it) ?: true } ?: false },
        fetch = { hooks.fetchFromPeer(it) },
        readStore = { list(allowStale = false, regular = false) },
    )

    /** True while the store does not respond to this router's calls for this kind. */
    val unavailable: Boolean get() = unavailableSince != null

    /** Starts following in the background. */
    fun start() {
        context.launchLoop("follow ${kind.label}", ::pauseAfterFailure) {
            val called = callStore()
            if (unavailable) {
                hooks.fetchFromPeer(null)
            }
            if (called) delay(random.backoffMilliseconds(failures)) else context.ticker.await()
        }
    }

    /** Lists or watches if it is this router's turn; returns false if it has nothing to do. */
    private suspend fun callStore(): Boolean {
        val mayStart = hooks.startsFrom == FirstRead.STALE_LIST && listedRevision == null
        return when {
            !hooks.peersHeard() -> {
                if (mayStart) listedRevision = list(allowStale = true)
                mayStart
            }
            hooks.shouldWatch() -> {
                val from = listedRevision ?: list(allowStale = false)
                listedRevision = null
                from?.let { watch(it) }
                true
            }
            else -> {
                listedRevision = null
                failures = 0
                unavailableSince = null
                false
            }
        }
    }

    private fun pauseAfterFailure(): Long {
        failedPasses += 1
        return random.backoffMilliseconds(failedPasses)
    }

    /**
     * Compares [theirs], the digest of [peer], with [own]. If this router is behind, it fetches what it lacks from this
     * and other peers; if it watches the store itself, it reopens the watch instead once it has been behind for too
     * long.
     */
    fun compare(own: KindDigest?, theirs: KindDigest, peer: PeerAddress) {
        val now = context.now()
        val behind = own?.isBehind(theirs) ?: true
        if (own?.hash == theirs.hash) sink.agreed(now)
        val since = behindSince
        when {
            !behind -> if (own != null && own.revision >= theirs.revision) behindSince = null
            watchJob == null -> {
                ahead = theirs.takeIf { it.revision >= (ahead?.revision ?: 0) } ?: ahead
                if (sink.behindSince == null) sink.behindSince = now
                catchUp.offer(peer)
            }
            since == null -> behindSince = now
            Duration.between(since, now) > MAX_LAG -> reopenWatch("a peer is at revision ${theirs.revision}")
        }
    }

    /** Cancels the watch, so that the objects are listed again on a new connection. */
    fun reopenWatch(reason: String) {
        behindSince = null
        watchJob?.let {
            context.log.record("watch_reopened", "kind" to kind.label, "reason" to reason)
            store.discardIdleConnections()
            it.cancel()
        }
    }

    /**
     * Lists all pages and returns the revision to watch from, or null after a failure. The failure of a call that is
     * not [regular] does not count as one of the store: many routers may make it at once, and be rejected for that.
     */
    private suspend fun list(allowStale: Boolean, regular: Boolean = true): Long? {
        val objects = ArrayList<StoredObject<T>>()
        var revision: Long? = null
        var next: String? = null
        val startedAt = context.now()
        do {
            val page = store.list(kind, next, allowStale)
                .fold(success = { it }, failure = { if (regular) failed("list", it) else null })
                ?.takeIf { it.continues(revision) } ?: return null
            objects += page.objects
            revision = minOf(revision ?: page.revision, page.revision)
            next = page.next
        } while (next != null)
        succeeded()
        sink.replace(objects, revision ?: 0, startedAt)
        return revision
    }

    /** Watches until a failure, or until the watch is reopened. */
    private suspend fun watch(from: Long) {
        try {
            coroutineScope {
                watchJob = launch {
                    var position: WatchPosition? = WatchPosition(from, changed = true)
                    while (position != null && hooks.shouldWatch()) {
                        position = watchOnce(position)
                    }
                }
            }
        } finally {
            watchJob = null
        }
    }

    private suspend fun watchOnce(position: WatchPosition): WatchPosition? {
        val factor = 1 + WATCH_JITTER * (random.nextDouble() * 2 - 1)
        val maxWait = Duration.ofMillis((hooks.maxWait(position.changed).toMillis() * factor).toLong())
        val response = watching.await(position.revision, maxWait)
        val batch = response.result.fold(success = { it }, failure = { failed("watch", it) }) ?: return null
        succeeded()
        sink.apply(batch.changes, batch.revision, response.sentAt)
        failedPasses = 0
        if (batch.changes.isNotEmpty()) {
            delay(BATCHING_MILLISECONDS)
        }
        return WatchPosition(batch.revision, changed = batch.changes.isNotEmpty())
    }

    /** The revision from which to watch, and whether it comes from a list or a change. */
    private class WatchPosition(val revision: Long, val changed: Boolean)

    private fun failed(verb: String, error: StoreError): Nothing? {
        if (error == StoreError.HistoryGone) {
            context.log.record("store_history_gone", "kind" to kind.label)
            return null
        }
        failures += 1
        hooks.reachability.recordFailure()
        if (unavailableSince == null) {
            unavailableSince = context.now()
            context.log.record("store_lost", "kind" to kind.label, "verb" to verb, "error" to error)
        }
        return null
    }

    private fun succeeded() {
        failures = 0
        unavailableSince?.let {
            val milliseconds = Duration.between(it, context.now()).toMillis()
            context.log.record("store_regained", "kind" to kind.label, "afterMs" to milliseconds)
        }
        hooks.reachability.recordResponse()
        unavailableSince = null
    }
}

/** False if the store has come back from a copy between the pages of a list, of which the last was at [revision]. */
private fun ObjectPage<*>.continues(revision: Long?): Boolean =
    revision == null || StoreVersion(revision).isOfSameEra(StoreVersion(this.revision))

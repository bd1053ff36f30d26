package comfreypath.router.view

import com.github.michaelbull.result.fold
import comfreypath.coordination.fleet.KindDigest
import comfreypath.coordination.fleet.PeerAddress
import comfreypath.router.RouterContext
import comfreypath.router.store.ObjectKind
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.StoreError
import comfreypath.router.store.StoredObject
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.time.Duration
import java.time.Instant

private const val FIRST_RETRY_MILLISECONDS = 100
private const val LONGEST_RETRY_MILLISECONDS = 800
private const val LONGEST_DOUBLINGS = 3
private const val IDLE_MILLISECONDS = 100L

/** Changes come in bursts; those of one burst share a call. */
private const val GATHERING_MILLISECONDS = 120L
private const val SPREAD = 0.3

private const val LONGEST_LAG_MILLISECONDS = 400L

/** How long a peer may know more before this router's own watch counts as silent. */
private val LONGEST_LAG: Duration = Duration.ofMillis(LONGEST_LAG_MILLISECONDS)

/**
 * What a follower needs beside the store.
 *
 * @property shouldWatch true while this router is to watch the store itself
 * @property maxWait how long a watch may stay open without a change
 * @property fetchFromPeer asks a peer, or any better informed one if null, for its copy of the objects
 * @property onResponse called when the store answered, and whether that ended an outage
 */
class FollowerHooks(
    val shouldWatch: () -> Boolean,
    val maxWait: () -> Duration,
    val fetchFromPeer: suspend (PeerAddress?) -> Unit,
    val onResponse: (afterOutage: Boolean) -> Unit,
)

/**
 * Keeps a [StoreSink] up to date with the objects of one kind: it lists them and then watches from the list's revision,
 * while this router is to watch the store; otherwise it takes the copies of peers that know more.
 *
 * Each wait is random to a degree, so that the routers do not all call the store at the same moment. A watch whose
 * connection has silently lost its other end is found out by what peers know, see [compare].
 */
class StoreFollower<T : Any>(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val kind: ObjectKind<T>,
    private val sink: StoreSink<T>,
    private val hooks: FollowerHooks,
) {
    private val random: UniformRandomProvider =
        RandomSource.SPLIT_MIX_64.create((context.options.name.text + kind.label).hashCode().toLong())
    private var failures = 0
    private var lostSince: Instant? = null
    private var watching: Job? = null
    private var behindSince: Instant? = null
    private var fetching: Job? = null

    /** True while the store does not answer this router about this kind. */
    val unavailable: Boolean get() = lostSince != null

    /** Starts to follow. */
    fun start() {
        context.scope.launch {
            while (true) {
                if (hooks.shouldWatch()) {
                    list()?.let { revision -> watch(revision) }
                    if (unavailable) {
                        hooks.fetchFromPeer(null)
                    }
                    delay(pauseMilliseconds())
                } else {
                    failures = 0
                    lostSince = null
                    delay(IDLE_MILLISECONDS)
                }
            }
        }
    }

    /**
     * Takes in what [peer] knows, to be compared with [own]: while this router watches, its watch is opened anew when
     * it seems to miss something; otherwise the peer's copy is fetched.
     */
    fun compare(own: KindDigest?, peers: KindDigest, peer: PeerAddress) {
        val now = context.now()
        val behind = own == null || peers.revision > own.revision && peers.hash != own.hash
        val since = behindSince
        when {
            !behind -> if (own != null && own.revision >= peers.revision) behindSince = null
            watching == null -> catchUp(peer)
            since == null -> behindSince = now
            Duration.between(since, now) > LONGEST_LAG -> reopenWatch("a peer knows revision ${peers.revision}")
        }
    }

    private fun catchUp(peer: PeerAddress) {
        if (fetching?.isActive != true) {
            fetching = context.scope.launch { hooks.fetchFromPeer(peer) }
        }
    }

    /** Lists the objects again, on a new connection. */
    fun reopenWatch(reason: String) {
        behindSince = null
        watching?.let {
            context.log.record("watch_reopened", "kind" to kind.label, "reason" to reason)
            it.cancel()
        }
    }

    private fun pauseMilliseconds(): Long {
        if (failures == 0) {
            return 0
        }
        val doublings = minOf(failures - 1, LONGEST_DOUBLINGS)
        val longest = (FIRST_RETRY_MILLISECONDS shl doublings).coerceAtMost(LONGEST_RETRY_MILLISECONDS)
        return longest / 2 + random.nextInt(longest / 2 + 1).toLong()
    }

    /** Lists all pages and returns the revision to watch from, or null after a failure. */
    private suspend fun list(): Long? {
        val objects = ArrayList<StoredObject<T>>()
        var revision: Long? = null
        var next: String? = null
        val startedAt = context.now()
        do {
            val page = store.list(kind, next).fold(success = { it }, failure = { failed("list", it) }) ?: return null
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
        val job = context.scope.launch {
            var revision: Long? = from
            while (revision != null && hooks.shouldWatch()) {
                revision = watchOnce(revision)
            }
        }
        watching = job
        job.join()
        watching = null
    }

    private suspend fun watchOnce(from: Long): Long? {
        val sentAt: Instant = context.now()
        val spread = 1 + SPREAD * (random.nextDouble() * 2 - 1)
        val longest = Duration.ofMillis((hooks.maxWait().toMillis() * spread).toLong())
        val batch = store.watch(kind, from, longest).fold(success = { it }, failure = { failed("watch", it) })
            ?: return null
        succeeded()
        sink.apply(batch.changes, batch.revision, sentAt)
        if (batch.changes.isNotEmpty()) {
            delay(GATHERING_MILLISECONDS)
        }
        return batch.revision
    }

    private fun failed(verb: String, error: StoreError): Nothing? {
        if (error == StoreError.HistoryGone) {
            context.log.record("store_history_gone", "kind" to kind.label)
            return null
        }
        failures += 1
        if (lostSince == null) {
            lostSince = context.now()
            context.log.record("store_lost", "kind" to kind.label, "verb" to verb, "error" to error)
        }
        return null
    }

    private fun succeeded() {
        failures = 0
        lostSince?.let {
            val milliseconds = Duration.between(it, context.now()).toMillis()
            context.log.record("store_regained", "kind" to kind.label, "afterMs" to milliseconds)
        }
        hooks.onResponse(unavailable)
        lostSince = null
    }
}

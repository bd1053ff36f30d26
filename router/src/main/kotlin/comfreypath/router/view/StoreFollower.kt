package comfreypath.router.view

import com.github.michaelbull.result.fold
import comfreypath.router.node.NodeContext
import comfreypath.router.store.ObjectKind
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.StoreError
import comfreypath.router.store.StoredObject
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.time.Instant

private const val FIRST_RETRY_MILLISECONDS = 100
private const val LONGEST_RETRY_MILLISECONDS = 800

/**
 * Keeps a [StoreSink] up to date with the objects of one kind: lists them, and then watches from the list's revision.
 *
 * Each wait after a failure is random, so that the routers do not all return to the store at the same moment.
 */
class StoreFollower<T : Any>(
    private val context: NodeContext,
    private val store: ObjectStore,
    private val kind: ObjectKind<T>,
    private val sink: StoreSink<T>,
) {
    private val random: UniformRandomProvider =
        RandomSource.SPLIT_MIX_64.create((context.options.name.text + kind.label).hashCode().toLong())
    private var failures = 0
    private var lost = false

    /** Starts to follow. */
    fun start() {
        context.scope.launch {
            while (true) {
                list()?.let { revision -> watch(revision) }
                delay(pauseMilliseconds())
            }
        }
    }

    private fun pauseMilliseconds(): Long {
        if (failures == 0) {
            return 0
        }
        val longest = (FIRST_RETRY_MILLISECONDS shl minOf(failures - 1, 3)).coerceAtMost(LONGEST_RETRY_MILLISECONDS)
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

    /** Watches until a failure. */
    private suspend fun watch(from: Long) {
        var revision = from
        while (true) {
            val sentAt: Instant = context.now()
            val batch = store.watch(kind, revision, context.options.timeouts.watch)
                .fold(success = { it }, failure = { failed("watch", it) }) ?: return
            succeeded()
            revision = batch.revision
            sink.apply(batch.changes, batch.revision, sentAt)
        }
    }

    private fun failed(verb: String, error: StoreError): Nothing? {
        failures = if (error == StoreError.HistoryGone) 0 else failures + 1
        if (!lost && failures > 0) {
            lost = true
            context.log.record("store_lost", "kind" to kind.label, "verb" to verb, "error" to error)
        }
        if (error == StoreError.HistoryGone) {
            context.log.record("store_history_gone", "kind" to kind.label)
        }
        return null
    }

    private fun succeeded() {
        failures = 0
        if (lost) {
            lost = false
            context.log.record("store_regained", "kind" to kind.label)
        }
    }
}

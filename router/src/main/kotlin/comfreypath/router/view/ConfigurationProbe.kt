package comfreypath.router.view

import com.github.michaelbull.result.fold
import comfreypath.coordination.fleet.ConfirmationStep
import comfreypath.coordination.fleet.PeerAddress
import comfreypath.router.RouterContext
import comfreypath.router.launchLoop
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.StoreError
import comfreypath.router.store.StoreReachability
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.commons.rng.core.source64.SplitMix64
import java.time.Duration
import java.time.Instant

/** Several times the time that a peer needs to reply. */
private const val ASK_INTERVAL_MILLISECONDS = 400L

/** How long requests wait for a read that is to confirm the configuration. */
private const val MAX_CONFIRMATION_MILLISECONDS = 500L

/**
 * How a [ConfigurationProbe] renews its confirmation.
 *
 * @property ageRange the ages from which it draws the one at which it reads the store in any case
 * @property next the next step, by the age of the last confirmation and the age drawn
 * @property askPeer asks a peer for its confirmation
 */
class ConfirmationRenewal(
    val ageRange: () -> ProbeAgeRange,
    val next: (age: Duration?, maxAge: Duration) -> ConfirmationStep,
    val askPeer: (PeerAddress) -> Unit,
)

/**
 * Renews the confirmation that the configuration is current when the last one gets old: by a read, or from a peer.
 *
 * A silent watch confirms nothing, because its connection may be half-open. Routers pass confirmations on to each
 * other, and each draws its age limit at random, so that few read at the same moment if the peers' confirmations stay
 * away.
 */
class ConfigurationProbe(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val view: ConfigurationView,
    private val sink: ConfigurationSink,
    private val reachability: StoreReachability,
    private val renewal: ConfirmationRenewal,
) {
    private val random = SplitMix64(context.options.name.text.hashCode().toLong())
    private var pendingRead: PendingRead? = null

    /** The age at which this router reads the store in any case; null before it is drawn. */
    private var maxAge: Duration? = null
    private var mayAskAt = Instant.MIN

    private fun isFresh(maxAge: Duration): Boolean = view.age()?.let { it <= maxAge } ?: false

    /** Starts probing in the background. */
    fun start() {
        context.launchLoop("probe configuration") {
            val maxAge = maxAge ?: drawMaxAge().also { maxAge = it }
            when (val step = renewal.next(view.age(), maxAge)) {
                ConfirmationStep.Wait -> Unit
                ConfirmationStep.ReadStore -> {
                    this.maxAge = null
                    probe()
                }
                is ConfirmationStep.AskPeer -> ask(step.peer)
            }
            context.ticker.await()
        }
    }

    private fun drawMaxAge(): Duration {
        val range = renewal.ageRange()
        val width = range.max.minus(range.min).toMillis()
        return range.min.plusMillis(random.nextLong(width + 1))
    }

    private fun ask(peer: PeerAddress) {
        val now = context.now()
        if (now >= mayAskAt) {
            mayAskAt = now.plusMillis(ASK_INTERVAL_MILLISECONDS)
            renewal.askPeer(peer)
        }
    }

    /** Reads the configuration now, or joins a read in progress; returns false if the store did not return it. */
    suspend fun probe(): Boolean = (pendingRead ?: startRead()).succeeded.await()

    /**
     * True if the configuration was current at most [maxAge] ago; reads it if the last confirmation is older.
     *
     * Returns false once the read has taken longer than a store that responds needs, and at once while such a read is
     * in progress, so that requests are refused early instead of waiting for a store that is down.
     */
    suspend fun confirmedWithin(maxAge: Duration): Boolean {
        if (!isFresh(maxAge)) {
            val read = pendingRead ?: startRead()
            val timeLeft = Duration.between(context.now(), read.startedAt.plusMillis(MAX_CONFIRMATION_MILLISECONDS))
            withTimeoutOrNull(timeLeft.toMillis()) { read.succeeded.await() }
        }
        return isFresh(maxAge)
    }

    private fun startRead(): PendingRead {
        val read = PendingRead(context.now())
        pendingRead = read
        val job = context.scope.launch(CoroutineName("read configuration")) {
            read.succeeded.complete(readConfiguration(read.startedAt))
        }
        job.invokeOnCompletion {
            pendingRead = null
            read.succeeded.complete(false)
        }
        return read
    }

    private suspend fun readConfiguration(startedAt: Instant): Boolean =
        store.read(ObjectKinds.CONFIGURATION, ObjectKinds.CONFIGURATION_NAME).fold(
            success = { stored ->
                reachability.recordResponse()
                stored?.let { sink.update(it, startedAt) }
                stored != null
            },
            failure = { error ->
                reachability.recordFailure(unansweredSince = startedAt)
                if (error is StoreError.OutcomeUnknown) reachability.recordSilence()
                false
            },
        )

    private class PendingRead(val startedAt: Instant) {
        val succeeded = CompletableDeferred<Boolean>()
    }
}

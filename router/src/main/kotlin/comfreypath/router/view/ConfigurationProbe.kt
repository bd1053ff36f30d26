package comfreypath.router.view

import com.github.michaelbull.result.fold
import comfreypath.router.node.NodeContext
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectStore
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.time.Duration

private const val PAUSE_MILLISECONDS = 1_200L

/**
 * Reads the configuration at short intervals, which proves that no newer one was acknowledged before the read.
 *
 * A watch that stays silent proves nothing: its connection may have lost its other end.
 */
class ConfigurationProbe(
    private val context: NodeContext,
    private val store: ObjectStore,
    private val sink: ConfigurationSink,
) {
    private var reading: CompletableDeferred<Boolean>? = null

    /** Starts to read. */
    fun start() {
        context.scope.launch {
            while (true) {
                probe()
                delay(PAUSE_MILLISECONDS)
            }
        }
    }

    /** Reads the configuration now, or joins a read in progress; false when the store gave no answer. */
    suspend fun probe(): Boolean {
        reading?.let { return it.await() }
        val outcome = CompletableDeferred<Boolean>()
        reading = outcome
        context.scope.launch {
            val sentAt = context.now()
            val succeeded = store.read(ObjectKinds.CONFIGURATION, ObjectKinds.CONFIGURATION_NAME).fold(
                success = { stored ->
                    stored?.let { sink.take(it, sentAt) }
                    stored != null
                },
                failure = { false },
            )
            reading = null
            outcome.complete(succeeded)
        }
        return outcome.await()
    }

    /** True when the configuration was the newest one at most [age] ago, if need be after a read. */
    suspend fun confirmed(view: ClusterView, age: Duration): Boolean {
        val known = view.configuration
        return known != null && known.age(context.now()) <= age || probe() && view.configuration != null
    }
}

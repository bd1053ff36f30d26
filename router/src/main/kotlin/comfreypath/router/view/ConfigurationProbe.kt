package comfreypath.router.view

import com.github.michaelbull.result.fold
import comfreypath.router.RouterContext
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectStore
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.commons.rng.simple.RandomSource
import java.time.Duration

private const val TICK_MILLISECONDS = 100L

/**
 * Reads the configuration whenever the last proof that it is the newest one gets old.
 *
 * A watch that stays silent proves nothing: its connection may have lost its other end. Routers pass proofs on to each
 * other, so that mostly one read serves all; each waits for a proof a random time longer than the others.
 */
class ConfigurationProbe(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val view: ConfigurationView,
    private val sink: ConfigurationSink,
    private val ageRange: () -> ProbeAgeRange,
    private val onResponse: () -> Unit,
) {
    private val random = RandomSource.SPLIT_MIX_64.create(context.options.name.text.hashCode().toLong())
    private var reading: CompletableDeferred<Boolean>? = null

    private fun fresh(age: Duration): Boolean = view.age()?.let { it <= age } ?: false

    /** Starts to read. */
    fun start() {
        context.scope.launch {
            while (true) {
                val range = ageRange()
                val spread = range.max.minus(range.min).toMillis()
                val longest = range.min.plusMillis(random.nextLong(spread + 1))
                while (fresh(longest)) {
                    delay(TICK_MILLISECONDS)
                }
                probe()
                delay(TICK_MILLISECONDS)
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
                    onResponse()
                    stored?.let { sink.update(it, sentAt) }
                    stored != null
                },
                failure = { false },
            )
            reading = null
            outcome.complete(succeeded)
        }
        return outcome.await()
    }

    /** True when the configuration was the newest one at most [maxAge] ago, if need be after a read. */
    suspend fun confirmedWithin(maxAge: Duration): Boolean = fresh(maxAge) || probe() && fresh(maxAge)
}

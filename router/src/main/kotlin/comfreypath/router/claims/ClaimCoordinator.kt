package comfreypath.router.claims

import comfreypath.coordination.claims.ClaimOperation
import comfreypath.coordination.claims.ClaimRecovery
import comfreypath.coordination.claims.ClaimResult
import comfreypath.coordination.claims.ClaimShard
import comfreypath.router.RouterContext
import comfreypath.router.launchLoop
import comfreypath.router.store.ObjectStore
import kotlinx.coroutines.delay
import java.time.Duration

private const val TICK_INTERVAL_MILLISECONDS = 20L
private const val IDLE_TICK_INTERVAL_MILLISECONDS = 500L

/**
 * Runs claim operations against the shards in the store.
 *
 * Any router may update any shard, because the store's conditional writes prevent conflicting claims.
 *
 * @property knownEra the highest era of the store that is known
 * @property othersRestored whether all other routers have said that they have written their claims again in an era
 */
class ClaimCoordinator(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val knownEra: () -> Long = { store.era },
    private val othersRestored: (Long) -> Boolean = { true },
) {
    private val options = context.options.claims
    private val shard = ClaimShard(options)
    private val drivers = HashMap<Int, ClaimShardDriver>()
    private var recovery = ClaimRecovery()

    /** The era in which this router has written its claims again, to tell peers; 0 if the store names no eras. */
    val restoredEra: Long get() = if (isRestored) recovery.era else 0

    private val isRestored get() = drivers.values.all { it.restored(recovery.era) }

    /** True while operations are waiting for the store. */
    val busy: Boolean get() = drivers.values.any { it.busy }

    /** Starts to advance the shards that have waiting operations, and to drop those that are idle. */
    fun start() {
        context.launchLoop("advance claims") {
            followEra()
            drivers.values.filter { it.busy }.forEach { it.tick() }
            drivers.values.removeIf { it.idle }
            delay(if (drivers.isEmpty()) IDLE_TICK_INTERVAL_MILLISECONDS else TICK_INTERVAL_MILLISECONDS)
        }
    }

    private fun followEra() {
        val before = recovery
        val known = knownEra()
        recovery = before.next(known, isRestored, known == 0L || othersRestored(known), context.now())
        drivers.values.toList().forEach { it.learn(recovery.era, recovery.settled) }
        if (recovery.settled && !before.settled) {
            val milliseconds = Duration.between(recovery.since, context.now()).toMillis()
            context.log.record("claims_settled", "era" to recovery.era, "afterMs" to milliseconds)
        }
    }

    /** Runs [operation] on its shard and returns the result. */
    suspend fun submit(operation: ClaimOperation): ClaimResult {
        val number = operation.key.shard(options.shardCount)
        followEra()
        val driver = drivers.getOrPut(number) { ClaimShardDriver(context, store, shard, "shard-$number") }
        driver.learn(recovery.era, recovery.settled)
        return driver.submit(operation)
    }
}

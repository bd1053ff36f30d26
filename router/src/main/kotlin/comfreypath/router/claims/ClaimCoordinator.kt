package comfreypath.router.claims

import comfreypath.coordination.claims.ClaimOperation
import comfreypath.coordination.claims.ClaimResult
import comfreypath.coordination.claims.ClaimShard
import comfreypath.router.RouterContext
import comfreypath.router.launchLoop
import comfreypath.router.store.ObjectStore
import kotlinx.coroutines.delay

private const val TICK_INTERVAL_MILLISECONDS = 20L
private const val IDLE_TICK_INTERVAL_MILLISECONDS = 500L

/**
 * Runs claim operations against the shards in the store.
 *
 * Any router may update any shard, because the store's conditional writes prevent conflicting claims.
 */
class ClaimCoordinator(private val context: RouterContext, private val store: ObjectStore) {
    private val options = context.options.claims
    private val shard = ClaimShard(options)
    private val drivers = HashMap<Int, ClaimShardDriver>()

    /** True while operations are waiting for the store. */
    val busy: Boolean get() = drivers.values.any { it.busy }

    /** Starts to advance the shards that have waiting operations, and to drop those that are idle. */
    fun start() {
        context.launchLoop("advance claims") {
            drivers.values.filter { it.busy }.forEach { it.tick() }
            drivers.values.removeIf { it.idle }
            delay(if (drivers.isEmpty()) IDLE_TICK_INTERVAL_MILLISECONDS else TICK_INTERVAL_MILLISECONDS)
        }
    }

    /** Runs [operation] on its shard and returns the result. */
    suspend fun submit(operation: ClaimOperation): ClaimResult {
        val number = operation.key.shard(options.shardCount)
        return drivers.getOrPut(number) { ClaimShardDriver(context, store, shard, "shard-$number") }.submit(operation)
    }
}

package comfreypath.coordination.claims

import java.time.Duration

private const val WRITE_MILLISECONDS = 20L
private const val RETRY_MILLISECONDS = 250L
private const val WAIT_MILLISECONDS = 2_000L
private const val RECORD_MINUTES = 10L
private const val RETENTION_HOURS = 24L
private const val FRESH_MILLISECONDS = 500L
private const val BATCH = 256
private const val RECORDS = 4_000
private const val SHARDS = 64

/**
 * Settings of a [ClaimShard].
 *
 * @property minWriteInterval the least time between two writes of one shard; operations in between share a write
 * @property retryBackoff the wait after a failed read or write
 * @property claimTimeout how long a claim may wait before it is answered as unavailable
 * @property recordTimeout how long an answer or a release is tried before it is given up
 * @property retention how long a key is remembered; a caller must not repeat a key after that
 * @property maxReadAge a copy older than this is read anew before a key is said to have no answer yet
 * @property maxBatchSize the most operations in one write
 * @property maxRecords the most claims in one shard, so that it stays below the store's limit on a value
 * @property shardCount the objects among which claims are divided
 */
data class ClaimShardOptions(
    val minWriteInterval: Duration = Duration.ofMillis(WRITE_MILLISECONDS),
    val retryBackoff: Duration = Duration.ofMillis(RETRY_MILLISECONDS),
    val claimTimeout: Duration = Duration.ofMillis(WAIT_MILLISECONDS),
    val recordTimeout: Duration = Duration.ofMinutes(RECORD_MINUTES),
    val retention: Duration = Duration.ofHours(RETENTION_HOURS),
    val maxReadAge: Duration = Duration.ofMillis(FRESH_MILLISECONDS),
    val maxBatchSize: Int = BATCH,
    val maxRecords: Int = RECORDS,
    val shardCount: Int = SHARDS,
)

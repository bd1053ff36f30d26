package comfreypath.coordination.claims

import java.time.Duration

private const val MIN_WRITE_INTERVAL_MILLISECONDS = 20L
private const val RETRY_BACKOFF_MILLISECONDS = 250L
private const val CLAIM_TIMEOUT_MILLISECONDS = 2_000L
private const val RECORD_TIMEOUT_MINUTES = 10L
private const val RETENTION_HOURS = 24L
private const val MAX_READ_AGE_MILLISECONDS = 500L
private const val MAX_BATCH_SIZE = 256
private const val MAX_RECORDS = 4_000
private const val SHARD_COUNT = 64
private const val OWN_CLAIMS_MEMORY_SECONDS = 60L

/**
 * Settings of a [ClaimShard].
 *
 * @property minWriteInterval minimum time between two writes of a shard; operations in between share one write
 * @property retryBackoff delay after a failed read or write
 * @property claimTimeout time after which a pending claim completes as [ClaimResult.Unavailable]
 * @property recordTimeout time after which recording a response, or releasing a claim, is abandoned
 * @property retention time for which a key is kept; a caller must not repeat a key after that
 * @property maxReadAge age after which the shard is read again before a key is reported as having no response yet
 * @property maxBatchSize maximum number of operations in one write
 * @property maxRecords maximum number of claims in a shard, which keeps it below the store's limit on the object size
 * @property ownClaimsMemory time for which a router remembers the claims that it has written; longer than the seconds
 * that a copy of the store lacks
 * @property shardCount number of store objects that the claims are divided among
 */
data class ClaimShardOptions(
    val minWriteInterval: Duration = Duration.ofMillis(MIN_WRITE_INTERVAL_MILLISECONDS),
    val retryBackoff: Duration = Duration.ofMillis(RETRY_BACKOFF_MILLISECONDS),
    val claimTimeout: Duration = Duration.ofMillis(CLAIM_TIMEOUT_MILLISECONDS),
    val recordTimeout: Duration = Duration.ofMinutes(RECORD_TIMEOUT_MINUTES),
    val retention: Duration = Duration.ofHours(RETENTION_HOURS),
    val maxReadAge: Duration = Duration.ofMillis(MAX_READ_AGE_MILLISECONDS),
    val maxBatchSize: Int = MAX_BATCH_SIZE,
    val maxRecords: Int = MAX_RECORDS,
    val ownClaimsMemory: Duration = Duration.ofSeconds(OWN_CLAIMS_MEMORY_SECONDS),
    val shardCount: Int = SHARD_COUNT,
)

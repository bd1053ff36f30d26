package comfreypath.coordination.routing

import comfreypath.coordination.model.ServiceName
import java.time.Duration

/**
 * A service that endpoints offer.
 *
 * @property healthPath where an endpoint tells whether it is well
 * @property maxConnections the most connections that one endpoint takes from all routers together
 * @property coldStart how long an endpoint stays cold after its start
 * @property coldRequestsPerSecond the most requests a second that a cold endpoint bears from all routers; 0 if none
 * stay cold
 * @property engine what the endpoints can hold when they are model engines; null for plain services
 */
data class Service(
    val name: ServiceName,
    val healthPath: String,
    val maxConnections: Int,
    val coldStart: Duration,
    val coldRequestsPerSecond: Double,
    val engine: EngineProfile?,
)

/**
 * What a model engine of a service can hold and do.
 *
 * @property slots the most requests that run at once
 * @property cacheCapacityTokens the tokens that running requests and cached prompts share
 * @property cacheBytesPerToken the size of one token's cache when it is moved
 * @property tokensPerEvent the tokens that one event of a stream holds
 * @property supportsRunMigration whether a run can be moved to another engine with its cache
 * @property supportsRunBackup whether a run's cache can be copied to another engine while it grows
 */
data class EngineProfile(
    val slots: Int,
    val cacheCapacityTokens: Long,
    val cacheBytesPerToken: Long,
    val tokensPerEvent: Int,
    val supportsRunMigration: Boolean,
    val supportsRunBackup: Boolean,
)

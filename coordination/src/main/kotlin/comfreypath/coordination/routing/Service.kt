package comfreypath.coordination.routing

import comfreypath.coordination.model.ServiceName
import java.time.Duration

/**
 * Settings shared by the endpoints of a service.
 *
 * @property healthPath the path of the endpoints' health check
 * @property maxConnections the maximum number of connections to one endpoint from all routers together
 * @property coldStart the warm-up time of an endpoint after its start
 * @property coldRequestsPerSecond the maximum request rate to a cold endpoint from all routers together; 0 if endpoints
 * need no warm-up
 * @property engine the capacity of the endpoints if they are model engines; null for plain services
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
 * The capacity and features of a service's model engines.
 *
 * @property slots the maximum number of requests that run concurrently
 * @property cacheCapacityTokens the capacity of the key-value cache, shared by running requests and cached prompts
 * @property cacheBytesPerToken the size of one token's cache entry when it is transferred
 * @property tokensPerEvent the number of tokens in one stream event
 * @property supportsRunMigration whether a run can move to another engine together with its cache
 * @property supportsRunBackup whether a run's cache can be replicated to another engine as it grows
 */
data class EngineProfile(
    val slots: Int,
    val cacheCapacityTokens: Long,
    val cacheBytesPerToken: Long,
    val tokensPerEvent: Int,
    val supportsRunMigration: Boolean,
    val supportsRunBackup: Boolean,
)

package comfreypath.router

import comfreypath.coordination.claims.ClaimShardOptions
import comfreypath.coordination.fleet.StoreFreshness
import comfreypath.coordination.limits.RetryBounds
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.rollout.RolloutBounds
import comfreypath.transport.Address
import java.time.Duration

private const val MAX_CONNECTIONS = 3_000
private const val MAX_PEER_CONNECTIONS = 256
private const val MAX_STATUS_CONNECTIONS = 64

/** Leaves descriptors of the smallest machine, 3,900 for sockets, to the store, peers and listeners. */
private const val MAX_TOTAL_CONNECTIONS = 3_700

/** With a connection to an endpoint for each, and those at the other addresses, below the total. */
private const val MAX_REQUESTS_IN_PROGRESS = 1_500

/** The heap that bodies may fill. Sending a body takes its size again, outside the heap, until it is written. */
private const val HEAP_PARTS = 8
private const val REQUEST_HEAP_PARTS = 3
private const val RESPONSE_HEAP_PARTS = 1

/** The part of the heap that the latest messages of peers may fill. */
private const val PEER_HEAP_PARTS = 16
private const val CONNECT_MILLISECONDS = 300L
private const val STORE_CALL_MILLISECONDS = 1_500L
private const val WATCH_MILLISECONDS = 2_000L
private const val GRACE_SECONDS = 8L
private const val REVOCATION_MILLISECONDS = 5_000L
private const val CONFIGURATION_MILLISECONDS = 2_000L
private const val RETRY_SHARE = 0.2
private const val RETRY_SLACK = 50.0
private const val RETRY_WINDOW_SECONDS = 10L

/**
 * Settings of one router.
 *
 * @property name the instance's name, unique in the fleet
 * @property dataCentre the data centre in which the instance runs
 * @property callerAddress the address that listens for requests of callers
 * @property readinessAddress the address that serves the platform's readiness checks
 * @property peerAddress the address for other routers: receives status messages by UDP and serves snapshots by TCP
 * @property metricsAddress the address that serves metrics
 * @property objectStore the address of the platform's object store
 * @property peers the routers to contact at startup, in addition to those that the store lists
 * @property traceCollector the OTLP endpoint that receives spans; null disables tracing
 * @property maxConnections the maximum number of open connections from callers
 * @property maxPeerConnections the maximum number of open connections from other routers
 * @property maxStatusConnections the maximum number of open connections at the address of the readiness check, and at
 * that of the metrics
 * @property maxTotalConnections the maximum number of open connections from callers, routers and monitoring, and to
 * endpoints, together
 * @property maxRequestsInProgress the maximum number of requests in progress; one team has no more than are left
 * @property requestMemoryBytes the maximum size of all bodies of requests together that the router holds
 * @property responseMemoryBytes the maximum size of all bodies of responses together that the router holds
 * @property peerMemoryBytes the maximum size of the latest messages of all peers that the router holds
 * @property defaultedBounds the bounds that the operators have not set and their defaults, for the log
 */
data class RouterOptions(
    val name: InstanceName,
    val dataCentre: DataCentreName,
    val callerAddress: Address,
    val readinessAddress: Address,
    val peerAddress: Address,
    val metricsAddress: Address,
    val objectStore: Address,
    val peers: List<Address> = emptyList(),
    val traceCollector: String? = null,
    val maxConnections: Int = MAX_CONNECTIONS,
    val maxPeerConnections: Int = MAX_PEER_CONNECTIONS,
    val maxStatusConnections: Int = MAX_STATUS_CONNECTIONS,
    val maxTotalConnections: Int = MAX_TOTAL_CONNECTIONS,
    val maxRequestsInProgress: Int = MAX_REQUESTS_IN_PROGRESS,
    val requestMemoryBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_PARTS * REQUEST_HEAP_PARTS,
    val responseMemoryBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_PARTS * RESPONSE_HEAP_PARTS,
    val peerMemoryBytes: Long = Runtime.getRuntime().maxMemory() / PEER_HEAP_PARTS,
    val timeouts: RouterTimeouts = RouterTimeouts(),
    val bounds: ServiceBounds = ServiceBounds(),
    val claims: ClaimShardOptions = ClaimShardOptions(),
    val defaultedBounds: Map<String, String> = emptyMap(),
)

/**
 * Timeouts and intervals of a router.
 *
 * @property connect the maximum time to open a connection to an endpoint
 * @property storeCall the maximum time to wait for the store's response to a call
 * @property watch the interval at which the routers together renew the watches on orders, see [StoreFreshness]
 * @property grace the time from SIGTERM until the process is killed
 */
data class RouterTimeouts(
    val connect: Duration = Duration.ofMillis(CONNECT_MILLISECONDS),
    val storeCall: Duration = Duration.ofMillis(STORE_CALL_MILLISECONDS),
    val watch: Duration = Duration.ofMillis(WATCH_MILLISECONDS),
    val grace: Duration = Duration.ofSeconds(GRACE_SECONDS),
)

/**
 * Service-level bounds that operators set for the fleet.
 *
 * @property configuration the maximum time until an accepted configuration is in force on every reachable router
 * @property retries the limit on the retries of the whole fleet
 * @property rollouts the limit on the requests that a bad version receives during its rollout
 * @property revocation the maximum time until no router accepts a revoked key, whether or not the router is reachable
 */
data class ServiceBounds(
    val configuration: Duration = Duration.ofMillis(CONFIGURATION_MILLISECONDS),
    val retries: RetryBounds = RetryBounds(RETRY_SHARE, RETRY_SLACK, Duration.ofSeconds(RETRY_WINDOW_SECONDS)),
    val revocation: Duration = Duration.ofMillis(REVOCATION_MILLISECONDS),
    val rollouts: RolloutBounds = RolloutBounds(),
)

package comfreypath.router

import comfreypath.coordination.claims.ClaimShardOptions
import comfreypath.coordination.limits.RetryBounds
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.transport.Address
import java.time.Duration

private const val CONNECTIONS = 3_000
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
 * Everything that one router is told at its start.
 *
 * @property name the instance's name, unique in the fleet
 * @property dataCentre where the instance stands
 * @property callerAddress where callers' requests arrive
 * @property readinessAddress where the platform asks whether callers may be sent here
 * @property peerAddress where datagrams of other routers arrive
 * @property metricsAddress where metrics are served
 * @property objectStore the platform's object store
 * @property peers routers to greet at the start, beside those that the store lists
 * @property traceCollector where spans are sent over OTLP; null makes none
 * @property maxConnections the most connections of callers at once
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
    val maxConnections: Int = CONNECTIONS,
    val timeouts: RouterTimeouts = RouterTimeouts(),
    val bounds: ServiceBounds = ServiceBounds(),
    val claims: ClaimShardOptions = ClaimShardOptions(),
)

/**
 * Times that a router allows itself and others.
 *
 * @property connect the longest wait for a connection to an endpoint
 * @property storeCall the longest wait for the store's answer to a call
 * @property watch the time in which the routers together renew a watch on each kind of object once
 * @property grace the time from SIGTERM until the process is killed
 */
data class RouterTimeouts(
    val connect: Duration = Duration.ofMillis(CONNECT_MILLISECONDS),
    val storeCall: Duration = Duration.ofMillis(STORE_CALL_MILLISECONDS),
    val watch: Duration = Duration.ofMillis(WATCH_MILLISECONDS),
    val grace: Duration = Duration.ofSeconds(GRACE_SECONDS),
)

/**
 * What the operators of a deployment demand of the fleet.
 *
 * @property revocation the time after which a key that was taken away is used by no router, in touch or not
 * @property configuration the time after which an accepted configuration is in force on every router in touch
 * @property retries what the whole fleet may send beyond the first attempt of each request
 */
data class ServiceBounds(
    val configuration: Duration = Duration.ofMillis(CONFIGURATION_MILLISECONDS),
    val retries: RetryBounds = RetryBounds(RETRY_SHARE, RETRY_SLACK, Duration.ofSeconds(RETRY_WINDOW_SECONDS)),
    val revocation: Duration = Duration.ofMillis(REVOCATION_MILLISECONDS),
)

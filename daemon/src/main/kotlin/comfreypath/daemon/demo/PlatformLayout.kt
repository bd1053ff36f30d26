package comfreypath.daemon.demo

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.TeamName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.CallerLimits
import comfreypath.coordination.routing.Configuration
import comfreypath.coordination.routing.Destination
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.EngineProfile
import comfreypath.coordination.routing.Route
import comfreypath.coordination.routing.RouteKind
import comfreypath.coordination.routing.Service
import comfreypath.coordination.routing.Team
import comfreypath.transport.Address
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import java.time.Duration

private const val SLOTS = 16
private const val MAX_CONNECTIONS = 256
private const val CACHE_TOKENS = 800_000L
private const val BYTES_PER_TOKEN = 18_432L
private const val TOKENS_PER_EVENT = 7
private const val DATA_CENTRE_COUNT = 2
private const val TIMEOUT_SECONDS = 4L
private const val LATENCY_TARGET_MILLISECONDS = 250L

/** The names, endpoint records and configuration of a [PlatformFleet]. */
object PlatformLayout {
    /** The host of all routes. */
    const val HOST = "site.example"

    /** The key of the first team. */
    const val KEY = "key-1"

    /** The service of the model engines. */
    const val MODEL_SERVICE = "model"

    /** The service of the plain servers. */
    const val PLAIN_SERVICE = "plain"

    private val engine = EngineProfile(
        slots = SLOTS,
        cacheCapacityTokens = CACHE_TOKENS,
        cacheBytesPerToken = BYTES_PER_TOKEN,
        tokensPerEvent = TOKENS_PER_EVENT,
        supportsRunMigration = true,
        supportsRunBackup = true,
    )

    /** The name of the data centre with the given number. */
    fun dataCentre(number: Int) = DataCentreName("data-centre-${number % DATA_CENTRE_COUNT + 1}")

    /** The endpoint record of a server. */
    fun endpoint(name: String, service: String, number: Int, address: Address) = Endpoint(
        name = EndpointName(name),
        service = ServiceName(service),
        host = address.host,
        port = address.port,
        dataCentre = dataCentre(number),
        version = VersionName("v1"),
        slots = SLOTS,
        draining = false,
        coldMilliseconds = 0,
        startedAt = null,
    )

    /** The initial configuration. */
    fun configuration(): Configuration = Configuration(
        version = 1,
        routes = persistentListOf(
            route("draft", RouteKind.STREAMING, MODEL_SERVICE, attempts = 1),
            route("follow", RouteKind.STREAMING, MODEL_SERVICE, attempts = 2).copy(resumable = true),
            route("book", RouteKind.NON_IDEMPOTENT, PLAIN_SERVICE, attempts = 1),
            route("history", RouteKind.IDEMPOTENT, PLAIN_SERVICE, attempts = 2),
            route("open", RouteKind.IDEMPOTENT, PLAIN_SERVICE, attempts = 2).copy(public = true),
        ),
        services = persistentMapOf(
            ServiceName(MODEL_SERVICE) to service(MODEL_SERVICE, engine),
            ServiceName(PLAIN_SERVICE) to service(PLAIN_SERVICE, null),
        ),
        limits = CallerLimits(),
        teams = persistentListOf(
            Team(TeamName("team-1"), persistentListOf(KEY), priority = 1),
            Team(TeamName("team-2"), persistentListOf("key-2"), priority = null),
        ),
    )

    private fun route(name: String, kind: RouteKind, service: String, attempts: Int) = Route(
        name = name,
        host = HOST,
        pathPrefix = "/$name/",
        kind = kind,
        timeout = Duration.ofSeconds(TIMEOUT_SECONDS),
        latencyTarget = Duration.ofMillis(LATENCY_TARGET_MILLISECONDS),
        gapTarget = if (kind == RouteKind.STREAMING) Duration.ofMillis(LATENCY_TARGET_MILLISECONDS) else null,
        priority = 1,
        destinations = persistentListOf(Destination(ServiceName(service), 1)),
        maxAttempts = attempts,
        public = false,
        cacheAffinity = kind == RouteKind.STREAMING,
        resumable = false,
    )

    private fun service(name: String, engine: EngineProfile?) = Service(
        name = ServiceName(name),
        healthPath = "/health",
        maxConnections = MAX_CONNECTIONS,
        coldStart = Duration.ZERO,
        coldRequestsPerSecond = 0.0,
        engine = engine,
    )
}

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
import comfreypath.openai.OpenAiCallerDialect
import comfreypath.transport.Address
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import java.time.Duration

private const val BOOKING_SERVICE = "bookings"
private const val BOOKING_SLOTS = 16
private const val MAX_CONNECTIONS = 1_024
private const val PLAIN_TIMEOUT_SECONDS = 10L
private const val MAX_CHAT_ATTEMPTS = 3
private const val MAX_PLAIN_ATTEMPTS = 2
private const val MAX_BODY_BYTES = 1_048_576
private const val CACHE_TOKENS = 200_000L
private const val BYTES_PER_TOKEN = 18_432L

/** The names, endpoint records and configuration of a [LocalFleet]. */
class LocalLayout(private val options: LocalFleetOptions) {
    /** The name of the model. */
    val model: String = "roof-quotes"

    /** The path for bookings. */
    val bookingPath: String = "/services/$BOOKING_SERVICE/bookings"

    /** The API key of the team with the given number. */
    fun apiKey(team: Int): String = "key-$team"

    /** The name of the data centre with the given number. */
    fun dataCentre(number: Int): DataCentreName = DataCentreName("data-centre-${number % options.dataCentres + 1}")

    /** The endpoint record of the engine with the given number. */
    fun engineEndpoint(number: Int, address: Address): Endpoint =
        endpoint("engine-${number + 1}", model, number, address, options.engine.slots)

    /** The endpoint record of the booking server with the given number. */
    fun bookingEndpoint(number: Int, address: Address): Endpoint =
        endpoint("booking-${number + 1}", BOOKING_SERVICE, number, address, BOOKING_SLOTS)

    private fun endpoint(name: String, service: String, number: Int, address: Address, slots: Int) = Endpoint(
        name = EndpointName(name),
        service = ServiceName(service),
        host = address.host,
        port = address.port,
        dataCentre = dataCentre(number),
        version = VersionName(options.engine.version),
        slots = slots,
        draining = false,
        coldMilliseconds = 0,
        startedAt = null,
    )

    /** The initial configuration. */
    fun configuration(): Configuration = Configuration(
        version = 1,
        routes = persistentListOf(
            route("chat", OpenAiCallerDialect.CHAT_HOST, "/$model/", RouteKind.STREAMING, model),
            route(
                "book",
                OpenAiCallerDialect.SERVICE_HOST,
                "/$BOOKING_SERVICE/bookings/write/",
                RouteKind.NON_IDEMPOTENT,
                BOOKING_SERVICE
            ),
            route(
                "look-up",
                OpenAiCallerDialect.SERVICE_HOST,
                "/$BOOKING_SERVICE/bookings/read/",
                RouteKind.IDEMPOTENT,
                BOOKING_SERVICE
            ),
        ),
        services = persistentMapOf(
            ServiceName(model) to service(model, engineProfile()),
            ServiceName(BOOKING_SERVICE) to service(BOOKING_SERVICE, null),
        ),
        limits = CallerLimits(maxBodyBytes = MAX_BODY_BYTES, idleTimeout = Duration.ofMinutes(2)),
        teams = (0 until options.teams)
            .map { Team(TeamName("team-${it + 1}"), persistentListOf(apiKey(it)), priority = null) }
            .toImmutableList(),
    )

    private fun engineProfile() = EngineProfile(
        slots = options.engine.slots,
        cacheCapacityTokens = CACHE_TOKENS,
        cacheBytesPerToken = BYTES_PER_TOKEN,
        tokensPerEvent = 1,
        supportsRunMigration = false,
        supportsRunBackup = false,
    )

    private fun route(name: String, host: String, path: String, kind: RouteKind, service: String) = Route(
        name = name,
        host = host,
        pathPrefix = path,
        kind = kind,
        timeout = if (kind == RouteKind.STREAMING) Duration.ofMinutes(2) else Duration.ofSeconds(PLAIN_TIMEOUT_SECONDS),
        latencyTarget = Duration.ofSeconds(1),
        gapTarget = if (kind == RouteKind.STREAMING) Duration.ofSeconds(1) else null,
        priority = 0,
        destinations = persistentListOf(Destination(ServiceName(service), 1)),
        maxAttempts = if (kind == RouteKind.STREAMING) MAX_CHAT_ATTEMPTS else MAX_PLAIN_ATTEMPTS,
        public = false,
        cacheAffinity = kind == RouteKind.STREAMING,
        resumable = kind == RouteKind.STREAMING,
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

package comfreypath.router.request

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.overload.DrainAdmission
import comfreypath.coordination.overload.ExpectedTimes
import comfreypath.coordination.routing.Team
import comfreypath.router.RouterContext
import comfreypath.router.ServiceBounds
import comfreypath.router.view.ClusterView
import comfreypath.router.view.ConfigurationProbe
import comfreypath.router.view.ConfigurationView
import java.time.Duration

private const val NOT_READY_RETRY_MILLISECONDS = 500L

private fun notReady(detail: String) =
    Refusal(RefusalCode.NOT_READY, detail, Duration.ofMillis(NOT_READY_RETRY_MILLISECONDS))

/**
 * The maximum time since the configuration in force was confirmed as the newest one.
 *
 * @property denial applies when an unknown route or key is refused, as a newer configuration may have added it
 * @property keys applies when a key is accepted, as a newer configuration may have revoked it
 */
class StalenessLimits(private val bounds: () -> ServiceBounds) {
    val denial: Duration get() = bounds().configuration.minusMillis(DENIAL_MARGIN_MILLISECONDS)
    val keys: Duration get() = bounds().revocation.minusMillis(KEY_MARGIN_MILLISECONDS)

    private companion object {
        const val DENIAL_MARGIN_MILLISECONDS = 300L
        const val KEY_MARGIN_MILLISECONDS = 500L
    }
}

/** Refuses requests whose body can't be read. A caller without a valid key is told only that the key is unknown. */
class BodyErrorFilter(
    private val view: ConfigurationView,
    private val refuse: suspend (CallerExchange, Refusal) -> Unit,
) {
    /** Passes on requests whose body could be read. */
    suspend fun filter(exchange: CallerExchange, next: Stage) {
        val error = exchange.request.bodyError
        when {
            error == null -> next(exchange)
            view.requiresKeys && exchange.request.apiKey?.let { view.teams.find(it) } == null ->
                refuse(exchange, Refusal(RefusalCode.UNKNOWN_KEY, "no team holds the key"))
            else -> refuse(exchange, error)
        }
    }
}

/** Refuses requests until the orders are known that take endpoints or versions out of use. */
class StartFilter(
    private val view: ClusterView,
    private val refuse: suspend (CallerExchange, Refusal) -> Unit,
) {
    /** Passes on all requests once the orders are known. */
    suspend fun filter(exchange: CallerExchange, next: Stage) {
        if (view.ordersKnown) next(exchange) else refuse(exchange, notReady("the router is starting"))
    }
}

/** Finds a request's route. The route counts as unknown only while the configuration is known to be fresh. */
class RouteFilter(
    private val view: ConfigurationView,
    private val probe: ConfigurationProbe,
    private val limits: StalenessLimits,
    private val refuse: suspend (CallerExchange, Refusal) -> Unit,
) {
    /** Passes on requests that have a route. */
    suspend fun filter(exchange: CallerExchange, next: Stage) {
        val known = view.current != null
        val fresh = known && (find(exchange) != null || probe.confirmedWithin(limits.denial))
        val route = find(exchange)
        when {
            !known -> refuse(exchange, notReady("no configuration is known yet"))
            !fresh -> refuse(exchange, notReady("the configuration may be out of date"))
            route == null ->
                refuse(
                    exchange,
                    Refusal(RefusalCode.UNKNOWN_ROUTE, "no route leads to ${exchange.request.address.path}")
                )
            else -> {
                exchange.route = route
                exchange.priority = route.priority
                next(exchange)
            }
        }
    }

    private fun find(exchange: CallerExchange) = exchange.request.address.let { view.routes.find(it.host, it.path) }
}

/**
 * Finds the team that holds a caller's key.
 *
 * A key is accepted only while the configuration was recently confirmed as the newest one, so that a revoked key is
 * refused in time even by a router that receives no updates.
 */
class ApiKeyFilter(
    private val view: ConfigurationView,
    private val probe: ConfigurationProbe,
    private val limits: StalenessLimits,
    private val refuse: suspend (CallerExchange, Refusal) -> Unit,
) {
    /** Passes on requests that need no key or whose key belongs to a team. */
    suspend fun filter(exchange: CallerExchange, next: Stage) {
        view.checkClocks()
        if (!view.requiresKeys || exchange.route.public) {
            next(exchange)
            return
        }
        val maxAge = if (team(exchange) != null) limits.keys else limits.denial
        val fresh = probe.confirmedWithin(maxAge)
        val team = team(exchange)
        when {
            !fresh -> refuse(exchange, notReady("the keys in force are not known"))
            team == null -> refuse(exchange, Refusal(RefusalCode.UNKNOWN_KEY, "no team holds the key"))
            else -> {
                exchange.team = team.name
                exchange.priority = team.priority ?: exchange.priority
                next(exchange)
            }
        }
    }

    private fun team(exchange: CallerExchange): Team? = exchange.request.apiKey?.let { view.teams.find(it) }
}

/**
 * Refuses the requests that a stopping router can't finish.
 *
 * @param expectedTimes the expected times of a request of a route at a service
 */
class DrainFilter(
    private val context: RouterContext,
    private val expectedTimes: (ServiceName, String) -> ExpectedTimes,
    private val refuse: suspend (CallerExchange, Refusal) -> Unit,
) {
    /** The decision while the router stops; null before. */
    var drain: DrainAdmission? = null

    /** Passes on the requests that are expected to end in time. */
    suspend fun filter(exchange: CallerExchange, next: Stage) {
        val route = exchange.route
        val expected = route.destinations.mapNotNull { expectedTimes(it.service, route.name).holdTime }.maxOrNull()
        if (drain?.admits(context.now(), exchange.deadline, expected, route.repeatable) == false) {
            refuse(exchange, Refusal(RefusalCode.NOT_READY, "the router is stopping, and the request may outlast it"))
        } else {
            next(exchange)
        }
    }
}

package comfreypath.router.request

import comfreypath.coordination.routing.Team
import comfreypath.router.ServiceBounds
import comfreypath.router.view.ConfigurationProbe
import comfreypath.router.view.ConfigurationView
import java.time.Duration

private const val NOT_READY_RETRY_MILLISECONDS = 500L

private fun notReady(detail: String) =
    Refusal(RefusalCode.NOT_READY, detail, Duration.ofMillis(NOT_READY_RETRY_MILLISECONDS))

/**
 * How long ago the configuration in force must have been the newest one.
 *
 * @property denial for a route or a key to be denied; a newer configuration may have it
 * @property keys for a key to count; a newer configuration may have taken it away
 */
class StalenessLimits(private val bounds: () -> ServiceBounds) {
    val denial: Duration get() = bounds().configuration.minusMillis(DENIAL_MARGIN_MILLISECONDS)
    val keys: Duration get() = bounds().revocation.minusMillis(KEY_MARGIN_MILLISECONDS)

    private companion object {
        const val DENIAL_MARGIN_MILLISECONDS = 300L
        const val KEY_MARGIN_MILLISECONDS = 500L
    }
}

/** Refuses requests whose body can't be read; a caller without a valid key learns only that. */
class BodyErrorFilter(
    private val view: ConfigurationView,
    private val refuse: suspend (CallerExchange, Refusal) -> Unit,
) {
    /** Hands requests on that have no fault. */
    suspend fun filter(exchange: CallerExchange, next: Stage) {
        val fault = exchange.request.bodyError
        when {
            fault == null -> next(exchange)
            view.requiresKeys && exchange.request.apiKey?.let { view.teams.find(it) } == null ->
                refuse(exchange, Refusal(RefusalCode.UNKNOWN_KEY, "no team holds the key"))
            else -> refuse(exchange, fault)
        }
    }
}

/** Finds the route of a request. A route is denied only while the configuration is known to be fresh. */
class RouteFilter(
    private val view: ConfigurationView,
    private val probe: ConfigurationProbe,
    private val ages: StalenessLimits,
    private val refuse: suspend (CallerExchange, Refusal) -> Unit,
) {
    /** Hands requests on that have a route. */
    suspend fun filter(exchange: CallerExchange, next: Stage) {
        val known = view.current != null
        val fresh = known && (find(exchange) != null || probe.confirmedWithin(ages.denial))
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
 * A key counts only while the configuration is known to have been the newest one lately, so that a key that was
 * taken away is refused in time even on a router that hears nothing.
 */
class ApiKeyFilter(
    private val view: ConfigurationView,
    private val probe: ConfigurationProbe,
    private val ages: StalenessLimits,
    private val refuse: suspend (CallerExchange, Refusal) -> Unit,
) {
    /** Hands requests on whose key is held by a team, and those that need none. */
    suspend fun filter(exchange: CallerExchange, next: Stage) {
        view.checkClocks()
        if (!view.requiresKeys || exchange.route.public) {
            next(exchange)
            return
        }
        val longest = if (team(exchange) != null) ages.keys else ages.denial
        val fresh = probe.confirmedWithin(longest)
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

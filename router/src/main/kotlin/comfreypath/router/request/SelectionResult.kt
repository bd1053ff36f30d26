package comfreypath.router.request

import comfreypath.coordination.overload.Admission
import comfreypath.coordination.routing.Endpoint
import java.time.Duration

/**
 * The endpoint selected for an attempt.
 *
 * @property load the requests in flight at the endpoint, from all routers as last reported
 * @property expectedLoad the estimate of the load at the time of the selection
 * @property cacheSource another endpoint, from which to fetch the prompt's cache; null if none is needed or known
 * @property basis the information that the selection is based on
 * @property pace the expected duration of work at the endpoint, relative to usual; null if the endpoint tells none
 */
class Selection(
    val endpoint: Endpoint,
    val load: Int,
    val expectedLoad: Double,
    val cacheSource: Endpoint?,
    val basis: SelectionBasis,
    val pace: Double? = null,
)

/** The outcome of selecting an endpoint for an attempt. */
sealed interface SelectionResult {
    /** The attempt goes to an endpoint. */
    class Selected(val selection: Selection) : SelectionResult

    /** No endpoint can take the request. */
    data object NoEndpoint : SelectionResult

    /**
     * Every endpoint of the service has asked for a pause or has announced that it leaves.
     *
     * @property untilFirstReturn the time until the first pause ends; null if all leave
     */
    data class AllOut(val paused: Int, val leaving: Int, val untilFirstReturn: Duration?) : SelectionResult

    /**
     * The endpoints that could take the request have used up the request rate that they take.
     *
     * @property untilNextRequest the time until one of them may get a request of this router
     */
    data class AllLimited(val untilNextRequest: Duration) : SelectionResult

    /** Admission control refused the request because every endpoint is full. */
    class Overloaded(val admission: Admission.Refused) : SelectionResult
}

/**
 * The information that a selection is based on, for the log.
 *
 * @property candidates the number of endpoints to select from
 * @property endpointsAge the time since the list of endpoints was last confirmed, or found equal to a peer's; null
 * before the first list
 * @property loadsAge the mean age of the peers' reports of their loads
 * @property configuration the configuration version in force; null before the first one
 * @property configurationAge the time since that version was last confirmed as the newest one
 */
class SelectionBasis(
    val candidates: Int,
    val endpointsAge: Duration?,
    val loadsAge: Duration,
    val configuration: Long?,
    val configurationAge: Duration?,
)

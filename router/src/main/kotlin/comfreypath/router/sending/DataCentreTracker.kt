package comfreypath.router.sending

import comfreypath.coordination.health.DataCentreDetector
import comfreypath.coordination.health.DataCentreHealth
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.RouterContext
import java.time.Duration

/** Tracks which data centres this router can't reach, and logs when one is left out and when it is back. */
class DataCentreTracker(private val context: RouterContext) {
    private val detector = DataCentreDetector()
    private val states = HashMap<DataCentreName, DataCentreHealth>()

    /** Records that [endpoint] has sent something. */
    fun recordHeard(endpoint: Endpoint) {
        val before = states[endpoint.dataCentre] ?: DataCentreHealth()
        states[endpoint.dataCentre] = detector.heard(before, context.now())
        if (before.outages > 0) {
            context.log.record("data_centre_back", "dataCentre" to endpoint.dataCentre, "endpoint" to endpoint.name)
        }
    }

    /** Records that a request is sent to [endpoint]. */
    fun recordAttempt(endpoint: Endpoint) {
        states.computeIfPresent(endpoint.dataCentre) { _, state -> detector.attempted(state, context.now()) }
    }

    /** Records that [endpoint] could not be reached or was silent. */
    fun recordUnanswered(endpoint: Endpoint) {
        val now = context.now()
        val before = states[endpoint.dataCentre] ?: DataCentreHealth()
        val after = detector.unanswered(before, endpoint.name, now)
        states[endpoint.dataCentre] = after
        if (after.outages > before.outages) {
            context.metrics.dataCentreOutages.labelValues(endpoint.dataCentre.text).inc()
            context.log.record(
                "data_centre_left_out",
                "dataCentre" to endpoint.dataCentre,
                "endpoint" to endpoint.name,
                "unanswered" to after.unanswered.size,
                "quietMs" to Duration.between(after.heardAt, now).toMillis(),
                "outages" to after.outages,
                "forMs" to after.outUntil?.let { Duration.between(now, it).toMillis() },
            )
        }
    }

    /** True if the data centre of [endpoint] can't be reached. */
    fun isOut(endpoint: Endpoint): Boolean = states[endpoint.dataCentre]?.isOut(context.now()) == true

    /** Leaves out the [endpoints] of data centres that are out, unless too few would remain. */
    fun usable(endpoints: List<Endpoint>): List<Endpoint> {
        val now = context.now()
        val anyOut = states.values.any { it.isOut(now) }
        return if (anyOut) detector.usable(endpoints) { states[it.dataCentre]?.isOut(now) == true } else endpoints
    }
}

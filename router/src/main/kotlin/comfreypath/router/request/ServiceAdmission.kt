package comfreypath.router.request

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.overload.Admission
import comfreypath.coordination.overload.AdmissionRequest
import comfreypath.coordination.overload.FirstEventTimeout
import comfreypath.coordination.overload.Occupancy
import comfreypath.coordination.overload.OverloadPolicy
import comfreypath.coordination.overload.RefusalReason
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.verdict.RetryAfterPolicy
import comfreypath.router.RouterContext
import comfreypath.router.sending.ServiceProgress
import java.time.Duration

/** Whether a request is sent to its service now, by the room at the service's endpoints. */
internal class ServiceAdmission(private val context: RouterContext, private val progress: ServiceProgress) {
    private val overload = OverloadPolicy()

    /** Decides whether [exchange] is sent to one of the [candidates] of [service]. */
    fun admit(exchange: CallerExchange, service: ServiceName, candidates: List<Candidate>): Admission {
        val now = context.now()
        val route = exchange.route
        val timeLeft = Duration.between(now, exchange.deadline)
        val timeToFirstEvent = Duration.between(now, exchange.request.receivedAt + FirstEventTimeout.of(route))
        return overload.admit(
            request = AdmissionRequest(
                team = exchange.team,
                timeLeft = if (route.streaming) minOf(timeLeft, timeToFirstEvent) else timeLeft,
                jitter = exchange.request.jitter,
            ),
            endpoints = candidates.asSequence().map { Occupancy(it.load, it.endpoint.slots) },
            times = progress.expectedTimes(service, route.name),
            inProgress = progress.inProgressByTeam(service),
        )
    }

    /** The refusal while all endpoints return from a pause and have as many requests of this router as they should. */
    fun whileReturning(exchange: CallerExchange): Admission.Refused {
        val timeLeft = Duration.between(context.now(), exchange.deadline)
        return Admission.Refused(
            RefusalReason.RETURNING,
            RetryAfterPolicy.whenAllAreOut(untilFirstReturn = Duration.ZERO, timeLeft, exchange.request.jitter),
        )
    }
}

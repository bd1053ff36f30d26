package comfreypath.router.request

import comfreypath.coordination.invariant.Invariant
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.verdict.CourseState
import comfreypath.router.RouterContext
import comfreypath.router.view.ClusterView

/** Checks what must hold at the moment at which a request is sent, answered or refused. */
class RelayInvariants(context: RouterContext, private val view: ClusterView) {
    private val monitor = context.monitor

    /** Checks an attempt at [endpoint] that is about to be made. */
    fun checkSend(request: CallerRequest, state: CourseState, endpoint: Endpoint) {
        monitor.check(Invariant.AT_MOST_ONCE, state.runs == 0 || state.route.repeatable) {
            "${request.id} may have run ${state.runs} times and is sent again"
        }
        monitor.check(Invariant.ENDPOINT_LEAVING, !endpoint.draining) {
            "${request.id} is sent to ${endpoint.name}, which leaves"
        }
        monitor.check(Invariant.DATA_CENTRE_OUT, endpoint.dataCentre.text !in view.evacuations.values) {
            "${request.id} is sent to ${endpoint.name} in ${endpoint.dataCentre}, which is evacuated"
        }
    }

    /** Checks an answer whose head says that it answers the request called [answers]. */
    fun checkResponse(request: CallerRequest, head: EndpointResponseHead) =
        monitor.check(Invariant.OWN_ANSWER, head.requestId == null || head.requestId == request.id) {
            "the answer to ${head.requestId} goes to the caller of ${request.id}"
        }

    /** Checks a refusal that is about to be told. */
    fun checkRefusal(request: CallerRequest, state: CourseState, refusal: Refusal) =
        monitor.check(Invariant.NOT_RUN_IS_TRUE, state.runs == 0 || refusal.code.mayHaveRun) {
            "${request.id} may have run ${state.runs} times and is refused as not run"
        }
}

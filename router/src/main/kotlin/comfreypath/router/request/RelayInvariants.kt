package comfreypath.router.request

import comfreypath.coordination.invariant.Invariant
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.verdict.RetryState
import comfreypath.router.RouterContext
import comfreypath.router.view.ClusterView

/** Checks the [invariants][Invariant] of a request when it is sent, answered or refused. */
class RelayInvariants(context: RouterContext, private val view: ClusterView) {
    private val monitor = context.monitor

    /** Checks an attempt before it is sent to [endpoint]. */
    fun checkSend(request: CallerRequest, state: RetryState, endpoint: Endpoint) {
        monitor.check(Invariant.AT_MOST_ONCE, state.runs == 0 || state.route.repeatable) {
            "${request.id} may have run ${state.runs} times and is sent again"
        }
        monitor.check(Invariant.ENDPOINT_LEAVING, !endpoint.draining) {
            "${request.id} is sent to ${endpoint.name}, which is draining"
        }
        monitor.check(Invariant.DATA_CENTRE_OUT, endpoint.dataCentre.text !in view.evacuations.values) {
            "${request.id} is sent to ${endpoint.name} in ${endpoint.dataCentre}, which is evacuated"
        }
    }

    /** Checks that a response with this [head] belongs to [request], if the head names a request. */
    fun checkResponse(request: CallerRequest, head: EndpointResponseHead) =
        monitor.check(Invariant.OWN_ANSWER, head.requestId == null || head.requestId == request.id) {
            "the response to ${head.requestId} goes to the caller of ${request.id}"
        }

    /** Checks a refusal before it goes to the caller. */
    fun checkRefusal(request: CallerRequest, state: RetryState, refusal: Refusal) =
        monitor.check(Invariant.NOT_RUN_IS_TRUE, state.runs == 0 || refusal.code.mayHaveRun) {
            "${request.id} may have run ${state.runs} times and is refused as not run"
        }
}

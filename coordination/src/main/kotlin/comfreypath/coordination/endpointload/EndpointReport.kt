package comfreypath.coordination.endpointload

/**
 * What an endpoint tells of itself in a response, for the requests of all routers.
 *
 * @property running number of requests that it runs
 * @property waiting number of requests that wait there for a slot
 * @property slots number of requests that it can run at once
 * @property pace how long work takes there at this moment, relative to usual; null if not told
 */
data class EndpointReport(val running: Int, val waiting: Int, val slots: Int, val pace: Double? = null)

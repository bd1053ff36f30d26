package comfreypath.openai

/** Names of the headers that callers and endpoints of this interface use besides those of HTTP. */
object OpenAiHeaders {
    /** The ID of the request, echoed on every response. */
    const val REQUEST_ID = "comfreypath-request"

    /** The priority of the request; lower numbers are served first. */
    const val PRIORITY = "comfreypath-priority"

    /** The remaining time for the request, in milliseconds. */
    const val TIME_LEFT = "comfreypath-time-left"

    /** The name of the endpoint that must run the request; any other responds with 421. */
    const val EXPECTED_ENDPOINT = "comfreypath-endpoint"

    /** The name of the team that holds the caller's key. */
    const val TEAM = "comfreypath-team"

    /** Present if an endpoint has not run the request and never will. */
    const val NOT_RUN = "comfreypath-not-run"

    /** Present on all responses of an endpoint that leaves. */
    const val LEAVING = "comfreypath-leaving"

    /** How long an endpoint that refuses with status 503 asks for no requests, in milliseconds. */
    const val PAUSE = "comfreypath-pause"

    /** The requests per second that an endpoint takes from all routers together; on each response while it holds. */
    const val RATE_LIMIT = "comfreypath-rate-limit"

    /** The ID of the last event of a stream that the sender has received. */
    const val LAST_EVENT_ID = "last-event-id"

    /** The caller's key that makes a request run at most once. */
    const val IDEMPOTENCY_KEY = "idempotency-key"

    /** Present if the response is a replay of one that was recorded earlier. */
    const val REPLAYED = "idempotency-replayed"
}

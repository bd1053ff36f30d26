package comfreypath.openai

/** The names of the headers that callers and endpoints of this interface use beside those of HTTP. */
object OpenAiHeaders {
    /** The identity of the request, echoed on every response. */
    const val REQUEST_ID = "comfreypath-request"

    /** The priority of the request; lower numbers are served first. */
    const val PRIORITY = "comfreypath-priority"

    /** The time that is left for the request, in milliseconds. */
    const val TIME_LEFT = "comfreypath-time-left"

    /** Names the endpoint that must run the request; any other answers 421. */
    const val EXPECTED_ENDPOINT = "comfreypath-endpoint"

    /** The name of the team that holds the caller's key. */
    const val TEAM = "comfreypath-team"

    /** Present when an endpoint has not run the request and never will. */
    const val NOT_RUN = "comfreypath-not-run"

    /** The id of the last event of a stream that the sender has. */
    const val LAST_EVENT_ID = "last-event-id"

    /** The caller's key that makes a request run at most once. */
    const val IDEMPOTENCY_KEY = "idempotency-key"

    /** Says that the answer was recorded earlier and is repeated. */
    const val REPLAYED = "idempotency-replayed"
}

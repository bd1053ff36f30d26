package comfreypath.router.request

/** Sends a caller's request to endpoints and returns the result. */
typealias Relay = suspend (CallerExchange) -> RelayResult

/** Handles a caller's request completely, including the response. */
typealias Stage = suspend (CallerExchange) -> Unit

/** Handles a caller's request or passes it on to the next stage. */
typealias Filter = suspend (CallerExchange, Stage) -> Unit

/** Chains the filters in front of [last]; the first filter is the outermost. */
fun pipeline(filters: List<Filter>, last: Stage): Stage =
    filters.foldRight(last) { filter, next -> { exchange -> filter(exchange, next) } }

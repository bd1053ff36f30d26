package comfreypath.router.request

/** Has an endpoint run a caller's request, if one can. */
typealias Relay = suspend (CallerExchange) -> RelayResult

/** Handles a caller's request to its end. */
typealias Stage = suspend (CallerExchange) -> Unit

/** Handles a caller's request or hands it on to the next stage. */
typealias Filter = suspend (CallerExchange, Stage) -> Unit

/** Puts the filters before [last], the first of them outermost. */
fun pipeline(filters: List<Filter>, last: Stage): Stage =
    filters.foldRight(last) { filter, next -> { exchange -> filter(exchange, next) } }

package comfreypath.coordination.routing

import comfreypath.coordination.model.ServiceName
import kotlinx.collections.immutable.ImmutableList
import java.time.Duration

/** What a route's requests allow to be done with them. */
enum class RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** May run once at the most. */
    NON_IDEMPOTENT,

    /** Answered by a stream of events; may run once at the most unless the stream can be resumed. */
    STREAMING,
}

/**
 * A route from a host and a path to services.
 *
 * @property pathPrefix begins and ends with a slash; the longest matching prefix of a host wins
 * @property timeout the longest time for which a caller is kept waiting for the end of an answer
 * @property latencyTarget the time within which an answer, or a stream's first event, is on time
 * @property gapTarget the longest pause between two events of a stream that is on time; null for other kinds
 * @property priority the rank among routes; 0 is the most urgent
 * @property destinations the services that share the route's requests, by weight
 * @property maxAttempts the most endpoints on which one request may run
 * @property public whether requests need no key
 * @property cacheAffinity whether requests carry a prompt whose parts endpoints cache
 * @property resumable whether a broken stream may go on at another endpoint
 */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeout: Duration,
    val latencyTarget: Duration,
    val gapTarget: Duration?,
    val priority: Int,
    val destinations: ImmutableList<Destination>,
    val maxAttempts: Int,
    val public: Boolean,
    val cacheAffinity: Boolean,
    val resumable: Boolean,
) {
    /** True when a request may be sent again although it may have run. */
    val repeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAMING && resumable

    /** True when answers are streams of events. */
    val streaming: Boolean get() = kind == RouteKind.STREAMING
}

/** A service among those that share a route's requests; [weight] is relative to the others'. */
data class Destination(val service: ServiceName, val weight: Int)

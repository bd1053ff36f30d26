package comfreypath.coordination.routing

import comfreypath.coordination.model.ServiceName
import kotlinx.collections.immutable.ImmutableList
import java.time.Duration

/** How often a route's requests may run, and how they are answered. */
enum class RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** May run at most once. */
    NON_IDEMPOTENT,

    /** Answered by a stream of events; may run at most once unless the stream is resumable. */
    STREAMING,
}

/**
 * Maps a host and a path prefix to services.
 *
 * @property pathPrefix begins and ends with a slash; the longest matching prefix of a host wins
 * @property timeout the maximum time that a caller waits for the end of a response
 * @property latencyTarget the time within which a response, or the first event of a stream, counts as on time
 * @property gapTarget the maximum time between two events of a stream that is on time; null for other kinds
 * @property priority the rank among routes; 0 is the most urgent
 * @property destinations the services among which the route's requests are split by weight
 * @property maxAttempts the maximum number of endpoints on which one request may run
 * @property public whether requests need no API key
 * @property cacheAffinity whether requests carry a prompt whose parts endpoints cache
 * @property resumable whether an interrupted stream may continue at another endpoint
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
    /** True when a request may be retried after an attempt that may have run. */
    val repeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAMING && resumable

    /** True when responses are event streams. */
    val streaming: Boolean get() = kind == RouteKind.STREAMING
}

/** A service that receives a share of a route's requests; [weight] is relative to the other destinations. */
data class Destination(val service: ServiceName, val weight: Int)

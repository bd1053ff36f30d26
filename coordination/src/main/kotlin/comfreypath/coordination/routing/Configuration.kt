package comfreypath.coordination.routing

import comfreypath.coordination.model.ServiceName
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import java.time.Duration

/**
 * The routes, services, limits and teams set by the operators.
 *
 * @property version increases with each change; a router applies only a higher version
 * @property teams null when requests need no API key
 */
data class Configuration(
    val version: Long,
    val routes: ImmutableList<Route>,
    val services: ImmutableMap<ServiceName, Service>,
    val limits: CallerLimits,
    val teams: ImmutableList<Team>?,
)

/**
 * Size and time limits for callers' connections.
 *
 * @property maxHeaderBytes the maximum size of a request's header section
 * @property maxBodyBytes the maximum size of a request's body
 * @property headerTimeout the maximum time from the first byte of a request to the end of its headers
 * @property idleTimeout the maximum time that a connection stays open without a request
 */
data class CallerLimits(
    val maxHeaderBytes: Int = DEFAULT_HEADER_BYTES,
    val maxBodyBytes: Int = DEFAULT_BODY_BYTES,
    val headerTimeout: Duration = Duration.ofSeconds(DEFAULT_HEADER_SECONDS),
    val idleTimeout: Duration = Duration.ofSeconds(DEFAULT_IDLE_SECONDS),
) {
    private companion object {
        const val DEFAULT_HEADER_BYTES = 16_384
        const val DEFAULT_BODY_BYTES = 4_194_304
        const val DEFAULT_HEADER_SECONDS = 3L
        const val DEFAULT_IDLE_SECONDS = 15L
    }
}

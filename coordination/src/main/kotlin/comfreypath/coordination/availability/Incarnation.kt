package comfreypath.coordination.availability

import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.routing.Endpoint

/**
 * Identifies one run of a server process, by all that its entry says of it.
 *
 * Another server that is given the same address or the same name is another incarnation.
 *
 * @property startedAt the start time by the server's clock, in milliseconds since the epoch; null if not reported
 */
data class Incarnation(
    val name: EndpointName,
    val service: ServiceName,
    val host: String,
    val port: Int,
    val startedAt: Long?,
) {
    /** Names seldom collide, and the hash of a name is cached. */
    override fun hashCode(): Int = name.hashCode()
}

/** The run of the server process that this entry describes. */
val Endpoint.incarnation: Incarnation get() = Incarnation(name, service, host, port, startedAt)

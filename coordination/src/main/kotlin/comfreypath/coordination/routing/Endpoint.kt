package comfreypath.coordination.routing

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName

/**
 * One run of a server process, as registered by the server.
 *
 * @property name usually differs for each start of the server
 * @property host an IP address
 * @property slots the maximum number of requests that run concurrently
 * @property draining true once the server has announced that it will stop
 * @property coldMilliseconds the remaining warm-up time at the last report
 * @property startedAt the start time by the server's clock, in milliseconds since the epoch; null if not reported
 */
data class Endpoint(
    val name: EndpointName,
    val service: ServiceName,
    val host: String,
    val port: Int,
    val dataCentre: DataCentreName,
    val version: VersionName,
    val slots: Int,
    val draining: Boolean,
    val coldMilliseconds: Long,
    val startedAt: Long?,
)

package comfreypath.coordination.routing

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName

/**
 * One start of a server, as it describes itself.
 *
 * @property name differs for each start, mostly
 * @property host an IP number
 * @property slots the requests that it works on at once
 * @property draining true once it has announced that it will stop
 * @property coldMilliseconds how much longer it stays cold, as of its last report
 * @property startedAt the time of its start by its own clock, in milliseconds since 1970; null if it doesn't tell
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

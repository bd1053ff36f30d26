package comfreypath.daemon.demo

import comfreypath.router.RouterOptions
import comfreypath.standins.EngineOptions

/**
 * The shape of a fleet within one process.
 *
 * @property routers the routers, spread evenly over the data centres
 * @property threads the event loops that routers and stand-ins share
 * @property customizeRouter changes the settings of each router
 */
data class LocalFleetOptions(
    val dataCentres: Int = 3,
    val routers: Int = 9,
    val engines: Int = 12,
    val services: Int = 3,
    val teams: Int = 10,
    val threads: Int = 4,
    val engine: EngineOptions = EngineOptions(),
    val customizeRouter: (RouterOptions) -> RouterOptions = { it },
)

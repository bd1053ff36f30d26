package comfreypath.daemon.demo

import comfreypath.router.RouterOptions
import comfreypath.standins.EngineOptions

/**
 * The size and settings of a fleet within one process.
 *
 * @property routers the number of routers, which are spread evenly over the data centres
 * @property threads the number of event loops, which routers and stand-ins share
 * @property customizeRouter changes the options of each router
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

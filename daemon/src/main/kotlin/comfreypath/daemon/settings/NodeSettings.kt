package comfreypath.daemon.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.router.node.NodeOptions
import comfreypath.router.node.ServiceBounds
import comfreypath.transport.Address
import java.time.Duration

private val NOWHERE = Address("0.0.0.0", 0)
private val MINUTE: Duration = Duration.ofMinutes(1)

/** The settings of a router on the platform. */
object NodeSettings {
    private val bounds = ServiceBounds()
    private val name = Setting.text("name", "the instance's name, unique in the fleet")
    private val dataCentre = Setting.text("data-centre", "the data centre in which the instance stands")
    private val listen = Setting.address("listen", "where callers' requests arrive")
    private val readiness = Setting.address("readiness-listen", "where the platform asks whether the router is ready")
    private val peer = Setting.address("peer-listen", "where datagrams of other routers arrive")
    private val metrics = Setting.address("metrics-listen", "where metrics are served")
    private val objectStore = Setting.address("object-store", "the platform's object store")
    private val revocation = Setting.duration(
        "revocation-bound",
        "the time after which a key that was taken away is used no more",
        bounds.revocation,
        MINUTE,
    )

    /** Every setting, in the order of the help text. */
    val all: List<Setting<*>> = listOf(name, dataCentre, listen, readiness, peer, metrics, objectStore, revocation)

    /** The options that [given] make; the error names the first wrong setting, its value and what is allowed. */
    fun options(given: GivenSettings): Result<NodeOptions, String> {
        val options = NodeOptions(
            name = InstanceName(given.take(name, "")),
            dataCentre = DataCentreName(given.take(dataCentre, "")),
            callerAddress = given.take(listen, NOWHERE),
            readinessAddress = given.take(readiness, NOWHERE),
            peerAddress = given.take(peer, NOWHERE),
            metricsAddress = given.take(metrics, NOWHERE),
            objectStore = given.take(objectStore, NOWHERE),
            bounds = ServiceBounds(revocation = given.take(revocation, bounds.revocation)),
        )
        return given.fault?.let { Err(it) } ?: Ok(options)
    }
}

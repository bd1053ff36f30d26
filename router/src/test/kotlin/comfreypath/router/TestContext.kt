package comfreypath.router

import comfreypath.coordination.invariant.InvariantMonitor
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.router.telemetry.EventLog
import comfreypath.router.telemetry.RouterMetrics
import comfreypath.router.telemetry.Tracing
import comfreypath.transport.Address
import comfreypath.transport.eventLoops
import java.time.InstantSource

/** Creates contexts of routers that are never started. */
internal object TestContext {
    private val unusedAddress = Address("127.0.0.1", 1)

    /**
     * Creates a context that reads the time from [clock] and reports invariant checks to [monitor], of a router with
     * [peerAddress] as its address for peers.
     */
    fun create(
        clock: InstantSource = InstantSource.system(),
        monitor: InvariantMonitor = InvariantMonitor { error("$it was violated") },
        peerAddress: Address = unusedAddress,
    ): RouterContext {
        val options = RouterOptions(
            name = InstanceName("router-1"),
            dataCentre = DataCentreName("south"),
            callerAddress = unusedAddress,
            readinessAddress = unusedAddress,
            peerAddress = peerAddress,
            metricsAddress = unusedAddress,
            objectStore = unusedAddress,
        )
        return RouterContext(
            settings = CurrentOptions(options),
            loop = eventLoops("test", 1).next(),
            clock = clock,
            log = EventLog(options.name, clock),
            metrics = RouterMetrics(),
            monitor = monitor,
            tracing = Tracing.NONE,
        )
    }
}

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

/** Contexts of routers that are never started. */
internal object TestContext {
    private val nowhere = Address("127.0.0.1", 1)

    /** A context whose time is that of [clock], and whose checks go to [monitor]. */
    fun create(
        clock: InstantSource = InstantSource.system(),
        monitor: InvariantMonitor = InvariantMonitor { error("$it was violated") },
    ): RouterContext {
        val options = RouterOptions(
            name = InstanceName("router-1"),
            dataCentre = DataCentreName("south"),
            callerAddress = nowhere,
            readinessAddress = nowhere,
            peerAddress = nowhere,
            metricsAddress = nowhere,
            objectStore = nowhere,
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

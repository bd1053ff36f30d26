package comfreypath.coordination.routing

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import kotlinx.collections.immutable.persistentListOf
import java.time.Duration

/** An endpoint of the service `s`; tests copy it and change what they need. */
internal fun testEndpoint(number: Int) = Endpoint(
    name = EndpointName("e$number"),
    service = ServiceName("s"),
    host = "10.0.0.$number",
    port = 80,
    dataCentre = DataCentreName("dc"),
    version = VersionName("v1"),
    slots = 6,
    draining = false,
    coldMilliseconds = 0,
    startedAt = null,
)

/** A route to the service `s`; tests copy it and change what they need. */
internal fun testRoute() = Route(
    name = "r",
    host = "h",
    pathPrefix = "/",
    kind = RouteKind.IDEMPOTENT,
    timeout = Duration.ofSeconds(4),
    latencyTarget = Duration.ofMillis(300),
    gapTarget = null,
    priority = 0,
    destinations = persistentListOf(Destination(ServiceName("s"), 1)),
    maxAttempts = 2,
    public = false,
    cacheAffinity = false,
    resumable = false,
)

package comfreypath.coordination.limits

import comfreypath.coordination.model.InstanceName

/**
 * The routers that one router, [self], knows.
 *
 * @property live the others whose status messages arrive
 * @property registered all that have a record, also those that don't run
 * @property settled true once [self] has run long enough to have heard from every live router
 */
data class KnownRouters(
    val self: InstanceName,
    val live: Set<InstanceName>,
    val registered: Set<InstanceName>,
    val settled: Boolean,
)

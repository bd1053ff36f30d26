package comfreypath.daemon.demo

import kotlinx.serialization.Serializable

/**
 * The results of the demo, printed as its last line.
 *
 * @property sent requests that callers sent
 * @property answered requests with a complete response that belongs to them
 * @property refusedNotRun refusals that say that the request did not run
 * @property mayHaveRun refusals that say that the request may have run
 * @property lost requests with neither a response nor a verdict
 * @property crossed responses that belong to another request
 * @property duplicateRuns bookings that ran more than once
 * @property cacheReuse the fraction of the tokens of earlier turns that engines found in their caches
 * @property maxToMeanLoad the busiest engine's load over the mean of all engines in service; loads are averaged over
 * windows of a few seconds, and the maximum over these windows is reported
 * @property controlBytesPerSecondPerRouter control traffic and probes of the busiest router
 * @property violations violations of invariants
 */
@Serializable
data class DemoReport(
    val sent: Int,
    val answered: Int,
    val refusedNotRun: Int,
    val mayHaveRun: Int,
    val lost: Int,
    val crossed: Int,
    val duplicateRuns: Int,
    val cacheReuse: Double,
    val maxToMeanLoad: Double,
    val controlBytesPerSecondPerRouter: Double,
    val violations: Int,
) {
    /** True if nothing was lost, crossed or run twice and no invariant was violated. */
    val clean: Boolean get() = lost == 0 && crossed == 0 && duplicateRuns == 0 && violations == 0
}

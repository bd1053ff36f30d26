package comfreypath.coordination.rollout

private const val SHARE = 0.1
private const val SLACK = 50.0

/**
 * The operators' limit on the requests that a bad version may receive from the whole fleet during its rollout.
 *
 * @property share the fraction of the service's requests
 * @property slack the number of requests in addition to that share
 */
data class RolloutBounds(val share: Double = SHARE, val slack: Double = SLACK)

package comfreypath.router.view

import org.apache.commons.rng.UniformRandomProvider

private const val INITIAL_BACKOFF_MILLISECONDS = 100
private const val MAX_BACKOFF_MILLISECONDS = 800
private const val MAX_DOUBLINGS = 3

/** A random time to wait after [failures] failures in a row; 0 after none. */
internal fun UniformRandomProvider.backoffMilliseconds(failures: Int): Long {
    if (failures == 0) {
        return 0
    }
    val doublings = minOf(failures - 1, MAX_DOUBLINGS)
    val max = (INITIAL_BACKOFF_MILLISECONDS shl doublings).coerceAtMost(MAX_BACKOFF_MILLISECONDS)
    return max / 2 + nextInt(max / 2 + 1).toLong()
}

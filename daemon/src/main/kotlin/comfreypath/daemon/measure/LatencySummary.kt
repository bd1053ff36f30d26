package comfreypath.daemon.measure

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

private const val MICROSECONDS_PER_MILLISECOND = 1_000.0
private const val P50 = 50.0
private const val P95 = 95.0
private const val P99 = 99.0

/** The 50th, 95th and 99th percentiles of latencies, in milliseconds. */
@Serializable
data class LatencySummary(val median: Double, val at95: Double, val at99: Double) {
    /** The difference from [other], for each percentile. */
    operator fun minus(other: LatencySummary): LatencySummary =
        LatencySummary(median - other.median, at95 - other.at95, at99 - other.at99)

    companion object {
        /** Summarizes a histogram of latencies in microseconds. */
        fun of(histogram: Histogram): LatencySummary = LatencySummary(
            median = histogram.getValueAtPercentile(P50) / MICROSECONDS_PER_MILLISECOND,
            at95 = histogram.getValueAtPercentile(P95) / MICROSECONDS_PER_MILLISECOND,
            at99 = histogram.getValueAtPercentile(P99) / MICROSECONDS_PER_MILLISECOND,
        )
    }
}

package comfreypath.daemon.demo

private const val MIN_MEAN_LOAD = 1.0

/** Tracks the ratio of the busiest engine's load to the mean load, per window of samples. */
internal class LoadSampler(private val samplesPerWindow: Int) {
    private val sums = HashMap<String, Int>()
    private var samples = 0

    /** The maximum ratio over all windows with a significant mean load. */
    var maxToMeanRatio: Double = 0.0
        private set

    /** Adds a sample with the loads of the engines in service. A change of the engines starts a new window. */
    fun sample(loads: Map<String, Int>) {
        if (sums.keys != loads.keys) {
            sums.clear()
            samples = 0
        }
        loads.forEach { (name, load) -> sums.merge(name, load, Int::plus) }
        samples += 1
        if (samples == samplesPerWindow) {
            endWindow()
        }
    }

    private fun endWindow() {
        val mean = sums.values.average()
        if (mean / samplesPerWindow >= MIN_MEAN_LOAD) {
            maxToMeanRatio = maxOf(maxToMeanRatio, sums.values.max() / mean)
        }
        sums.clear()
        samples = 0
    }
}

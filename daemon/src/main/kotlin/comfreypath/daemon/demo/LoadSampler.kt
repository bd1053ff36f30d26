package comfreypath.daemon.demo

private const val LEAST_MEAN_LOAD = 1.0

/** Samples the engines' load, and keeps the busiest engine's load over the mean for each window of samples. */
internal class LoadSampler(private val samplesPerWindow: Int) {
    private val sums = HashMap<String, Int>()
    private var samples = 0

    /** The largest ratio of any window with enough load to tell. */
    var maxToMeanRatio: Double = 0.0
        private set

    /** Takes the loads of the engines that are in service now. */
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
        if (mean / samplesPerWindow >= LEAST_MEAN_LOAD) {
            maxToMeanRatio = maxOf(maxToMeanRatio, sums.values.max() / mean)
        }
        sums.clear()
        samples = 0
    }
}

package comfreypath.measure.fake

import comfreypath.coordination.claims.ClaimRecord
import java.time.Duration

/**
 * The faults that a [FakeStore] injects. Probabilities are from 0 to 1.
 *
 * @property outage whether all calls time out and no write takes effect
 * @property lostResponseProbability the probability that a call takes effect but its response is lost
 * @property lateWriteProbability the probability that a write takes effect only after its caller has timed out
 */
data class FakeStoreFaults(
    val outage: Boolean = false,
    val lostResponseProbability: Double = 0.0,
    val lateWriteProbability: Double = 0.0,
)

/** The outcome of a write, as the caller sees it. */
enum class WriteOutcome { WRITTEN, CONFLICT, UNKNOWN }

/** One versioned object with conditional writes and a response delay; [faults] injects faults. */
class FakeStore(private val simulation: Simulation) {
    private var revision = 0L
    private var records: Map<String, ClaimRecord> = emptyMap()

    /** The current faults. */
    var faults = FakeStoreFaults()

    /** The number of writes that took effect. */
    var writes = 0L
        private set

    /** Reads the object; the records are null if the call times out. */
    fun read(onResponse: (revision: Long, records: Map<String, ClaimRecord>?) -> Unit) {
        val lost = faults.outage || simulation.chance(faults.lostResponseProbability)
        simulation.after(if (lost) TIMEOUT else responseDelay()) {
            if (lost) onResponse(0, null) else onResponse(revision, records)
        }
    }

    /** Writes the object if its revision is still [expected]. */
    fun write(expected: Long, content: Map<String, ClaimRecord>, onResponse: (WriteOutcome, revision: Long) -> Unit) {
        val late = simulation.chance(faults.lateWriteProbability)
        val lost = late || simulation.chance(faults.lostResponseProbability)
        if (faults.outage) {
            simulation.after(TIMEOUT) { onResponse(WriteOutcome.UNKNOWN, 0) }
            return
        }
        simulation.after(if (late) LATE_WRITE_DELAY else responseDelay()) {
            val outcome = apply(expected, content)
            if (!lost) {
                onResponse(outcome, revision)
            }
        }
        if (lost) {
            simulation.after(TIMEOUT) { onResponse(WriteOutcome.UNKNOWN, 0) }
        }
    }

    private fun apply(expected: Long, content: Map<String, ClaimRecord>): WriteOutcome {
        if (expected != revision) {
            return WriteOutcome.CONFLICT
        }
        revision += 1
        writes += 1
        records = content
        return WriteOutcome.WRITTEN
    }

    private fun responseDelay(): Duration = simulation.between(MIN_DELAY, MAX_DELAY)

    private companion object {
        val MIN_DELAY: Duration = Duration.ofMillis(2)
        val MAX_DELAY: Duration = Duration.ofMillis(10)
        val TIMEOUT: Duration = Duration.ofSeconds(1)
        val LATE_WRITE_DELAY: Duration = Duration.ofMillis(1_500)
    }
}

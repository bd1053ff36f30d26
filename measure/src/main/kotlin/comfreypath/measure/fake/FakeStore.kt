package comfreypath.measure.fake

import comfreypath.coordination.claims.ClaimRecord
import java.time.Duration

/**
 * What goes wrong at a store fake.
 *
 * @property outage no call is answered, and no write takes effect
 * @property lostResponseProbability the part of the calls that take effect and lose their answer
 * @property lateWriteProbability the part of the writes that take effect only after their caller has given up
 */
data class FakeStoreFaults(
    val outage: Boolean = false,
    val lostResponseProbability: Double = 0.0,
    val lateWriteProbability: Double = 0.0,
)

/** What a store fake answers to a write. */
enum class WriteOutcome { WRITTEN, CONFLICT, UNKNOWN }

/** One versioned object with conditional writes, a delay, outages, lost answers and late writes. */
class FakeStore(private val simulation: Simulation) {
    private var revision = 0L
    private var records: Map<String, ClaimRecord> = emptyMap()

    /** What goes wrong now. */
    var faults = FakeStoreFaults()

    /** The writes that took effect. */
    var writes = 0L
        private set

    /** Reads the object; null when no answer comes in time. */
    fun read(answer: (revision: Long, records: Map<String, ClaimRecord>?) -> Unit) {
        val lost = faults.outage || simulation.chance(faults.lostResponseProbability)
        simulation.after(if (lost) TIMEOUT else delay()) {
            if (lost) answer(0, null) else answer(revision, records)
        }
    }

    /** Writes the object if its revision is still [expected]. */
    fun write(expected: Long, content: Map<String, ClaimRecord>, answer: (WriteOutcome, revision: Long) -> Unit) {
        val late = simulation.chance(faults.lateWriteProbability)
        val lost = late || simulation.chance(faults.lostResponseProbability)
        if (faults.outage) {
            simulation.after(TIMEOUT) { answer(WriteOutcome.UNKNOWN, 0) }
            return
        }
        simulation.after(if (late) LATE else delay()) {
            val outcome = apply(expected, content)
            if (!lost) {
                answer(outcome, revision)
            }
        }
        if (lost) {
            simulation.after(TIMEOUT) { answer(WriteOutcome.UNKNOWN, 0) }
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

    private fun delay(): Duration = simulation.between(LEAST_DELAY, MOST_DELAY)

    private companion object {
        val LEAST_DELAY: Duration = Duration.ofMillis(2)
        val MOST_DELAY: Duration = Duration.ofMillis(10)
        val TIMEOUT: Duration = Duration.ofSeconds(1)
        val LATE: Duration = Duration.ofMillis(1_500)
    }
}

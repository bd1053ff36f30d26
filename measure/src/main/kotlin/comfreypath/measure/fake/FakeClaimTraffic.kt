package comfreypath.measure.fake

import comfreypath.coordination.claims.AttemptId
import comfreypath.coordination.claims.ClaimKey
import comfreypath.coordination.claims.ClaimOperation
import comfreypath.coordination.claims.ClaimResult
import comfreypath.coordination.claims.RecordedResponse
import java.time.Duration
import java.time.Instant

/**
 * Requests under idempotency keys as routers receive them: claimed, sent, recorded, and repeated by their callers.
 *
 * @property routers each router's work on each shard
 */
class FakeClaimTraffic(private val simulation: Simulation, private val routers: List<List<FakeClaimShard>>) {
    private val incarnations = IntArray(routers.size)
    private val runs = HashMap<ClaimKey, Int>()
    private val toldNotRun = HashSet<AttemptId>()
    private val ran = HashSet<AttemptId>()

    /** Whether a fault is on. */
    var faulty = false

    /** The part of the requests that run without an answer. */
    var silentServiceProbability = 0.0

    /** The receipts so far. */
    var count = 0L
        private set

    /** The receipts that got the answer. */
    var answered = 0L
        private set

    /** The receipts that were told that the request may have run. */
    var mayHaveRun = 0L
        private set

    /** The receipts while a fault was on. */
    var sentWhileFaulty = 0L
        private set

    /** The keys that ran more than once. */
    val runTwice: Long get() = runs.values.count { it > 1 }.toLong()

    /** The attempts that were told "not run" and ran. */
    val falseNotRun: Long get() = toldNotRun.count { it in ran }.toLong()

    private class Receipt(
        val holder: Int,
        val alive: () -> Boolean,
        val key: ClaimKey,
        val attempt: AttemptId,
        val triesLeft: Int,
        val patience: Instant,
    )

    /** Ends a router without notice and replaces it. */
    fun killRouter(number: Int) {
        incarnations[number] += 1
        routers[number].forEach { it.restart() }
    }

    /** One receipt of a key at a random router, whose caller tries again up to [triesLeft] times in all. */
    fun receive(key: ClaimKey, triesLeft: Int) {
        count += 1
        sentWhileFaulty += if (faulty) 1 else 0
        val entry = simulation.random.nextInt(routers.size)
        val incarnation = incarnations[entry]
        val receipt = Receipt(
            holder = if (simulation.chance(HOLDER_AGREED)) key.shard(routers.size) else entry,
            alive = { incarnations[entry] == incarnation },
            key = key,
            attempt = AttemptId("attempt-$count"),
            triesLeft = triesLeft,
            patience = simulation.instant() + ANSWER_PATIENCE,
        )
        claim(receipt)
    }

    private fun submit(receipt: Receipt, operation: ClaimOperation, answer: (ClaimResult) -> Unit = {}) {
        val shards = routers[receipt.holder]
        shards[receipt.key.shard(shards.size)].submit(operation, answer)
    }

    /** Claims the key; while another attempt holds it, waits a while for that one's answer. */
    private fun claim(receipt: Receipt) {
        submit(receipt, ClaimOperation.Claim(receipt.key, receipt.attempt, fingerprint = 1)) { answer ->
            val open = answer is ClaimResult.Taken && answer.response == null
            when {
                !receipt.alive() -> tryAgain(receipt)
                open && simulation.instant() < receipt.patience -> simulation.after(ANSWER_POLL) { claim(receipt) }
                else -> claimed(receipt, answer)
            }
        }
    }

    private fun claimed(receipt: Receipt, answer: ClaimResult) = when (answer) {
        is ClaimResult.Granted -> send(receipt)
        is ClaimResult.Taken -> if (answer.response != null) answered += 1 else tellMayHaveRun(receipt)
        is ClaimResult.Stored, is ClaimResult.Unavailable -> refuse(receipt)
    }

    private fun refuse(receipt: Receipt) {
        submit(receipt, ClaimOperation.Release(receipt.key, receipt.attempt))
        toldNotRun += receipt.attempt
        tryAgain(receipt)
    }

    private fun send(receipt: Receipt) {
        if (simulation.chance(REFUSED_BY_SERVICE)) {
            refuse(receipt)
        } else {
            simulation.after(simulation.exponential(SERVICE_TIME)) { run(receipt) }
        }
    }

    private fun run(receipt: Receipt) {
        runs.merge(receipt.key, 1, Int::plus)
        ran += receipt.attempt
        when {
            !receipt.alive() -> tryAgain(receipt)
            simulation.chance(silentServiceProbability) -> mayHaveRun += 1
            else -> {
                answered += 1
                submit(receipt, ClaimOperation.Record(receipt.key, receipt.attempt, RecordedResponse(OK_STATUS)))
            }
        }
    }

    private fun tellMayHaveRun(receipt: Receipt) {
        if (receipt.triesLeft > 1) tryAgain(receipt) else mayHaveRun += 1
    }

    private fun tryAgain(receipt: Receipt) {
        if (receipt.triesLeft > 1) {
            simulation.after(CALLER_PAUSE) { receive(receipt.key, receipt.triesLeft - 1) }
        }
    }

    private companion object {
        const val OK_STATUS = 200
        const val HOLDER_AGREED = 0.9
        const val REFUSED_BY_SERVICE = 0.02
        val SERVICE_TIME: Duration = Duration.ofMillis(20)
        val CALLER_PAUSE: Duration = Duration.ofMillis(1_500)
        val ANSWER_PATIENCE: Duration = Duration.ofSeconds(3)
        val ANSWER_POLL: Duration = Duration.ofMillis(100)
    }
}

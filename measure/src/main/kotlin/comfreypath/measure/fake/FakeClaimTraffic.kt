package comfreypath.measure.fake

import comfreypath.coordination.claims.AttemptId
import comfreypath.coordination.claims.ClaimKey
import comfreypath.coordination.claims.ClaimOperation
import comfreypath.coordination.claims.ClaimResult
import comfreypath.coordination.claims.RecordedResponse
import java.time.Duration
import java.time.Instant

/**
 * Simulates requests with idempotency keys: routers claim the key, send the request and record the response, and
 * callers retry.
 *
 * @property routers the claim shards of each router
 */
class FakeClaimTraffic(private val simulation: Simulation, private val routers: List<List<FakeClaimShard>>) {
    private val incarnations = IntArray(routers.size)
    private val runs = HashMap<ClaimKey, Int>()
    private val reportedNotRun = HashSet<AttemptId>()
    private val ran = HashSet<AttemptId>()

    /** Whether a fault is active. */
    var faulty = false

    /** The probability, from 0 to 1, that a request runs without a response. */
    var silentServiceProbability = 0.0

    /** The number of requests that routers have received. */
    var receivedCount = 0L
        private set

    /** The number of requests that got a response. */
    var answered = 0L
        private set

    /** The number of requests whose callers were told that they may have run. */
    var mayHaveRun = 0L
        private set

    /** The number of requests that were received while a fault was active. */
    var sentWhileFaulty = 0L
        private set

    /** The number of keys that ran more than once. */
    val runTwice: Long get() = runs.values.count { it > 1 }.toLong()

    /** The number of attempts that ran although they were reported as not run. */
    val falseNotRun: Long get() = reportedNotRun.count { it in ran }.toLong()

    private class ReceivedRequest(
        val claimRouter: Int,
        val routerAlive: () -> Boolean,
        val key: ClaimKey,
        val attempt: AttemptId,
        val triesLeft: Int,
        val deadline: Instant,
    )

    /** Kills a router without notice and replaces it. */
    fun killRouter(number: Int) {
        incarnations[number] += 1
        routers[number].forEach { it.restart() }
    }

    /** Receives a request at a random router. Its caller makes up to [triesLeft] tries in all. */
    fun receive(key: ClaimKey, triesLeft: Int) {
        receivedCount += 1
        sentWhileFaulty += if (faulty) 1 else 0
        val receiver = simulation.random.nextInt(routers.size)
        val incarnation = incarnations[receiver]
        val request = ReceivedRequest(
            claimRouter = if (simulation.chance(PREFERRED_ROUTER_PROBABILITY)) key.shard(routers.size) else receiver,
            routerAlive = { incarnations[receiver] == incarnation },
            key = key,
            attempt = AttemptId("attempt-$receivedCount"),
            triesLeft = triesLeft,
            deadline = simulation.instant() + MAX_RESPONSE_WAIT,
        )
        claim(request)
    }

    private fun submit(request: ReceivedRequest, operation: ClaimOperation, onResponse: (ClaimResult) -> Unit = {}) {
        val shards = routers[request.claimRouter]
        shards[request.key.shard(shards.size)].submit(operation, onResponse)
    }

    /** Claims the key. While another attempt holds it, polls for the response of that attempt until a timeout. */
    private fun claim(request: ReceivedRequest) {
        submit(request, ClaimOperation.Claim(request.key, request.attempt, fingerprint = 1)) { result ->
            val pending = result is ClaimResult.Taken && result.response == null
            when {
                !request.routerAlive() -> retry(request)
                pending && simulation.instant() < request.deadline -> simulation.after(POLL_INTERVAL) { claim(request) }
                else -> onClaimResult(request, result)
            }
        }
    }

    private fun onClaimResult(request: ReceivedRequest, result: ClaimResult) = when (result) {
        is ClaimResult.Granted -> send(request)
        is ClaimResult.Taken -> if (result.response != null) answered += 1 else reportMayHaveRun(request)
        is ClaimResult.Stored, is ClaimResult.Unavailable -> refuse(request)
    }

    private fun refuse(request: ReceivedRequest) {
        submit(request, ClaimOperation.Release(request.key, request.attempt))
        reportedNotRun += request.attempt
        retry(request)
    }

    private fun send(request: ReceivedRequest) {
        if (simulation.chance(REFUSAL_PROBABILITY)) {
            refuse(request)
        } else {
            simulation.after(simulation.exponential(MEAN_SERVICE_TIME)) { run(request) }
        }
    }

    private fun run(request: ReceivedRequest) {
        runs.merge(request.key, 1, Int::plus)
        ran += request.attempt
        when {
            !request.routerAlive() -> retry(request)
            simulation.chance(silentServiceProbability) -> mayHaveRun += 1
            else -> {
                answered += 1
                submit(request, ClaimOperation.Record(request.key, request.attempt, RecordedResponse(OK_STATUS)))
            }
        }
    }

    private fun reportMayHaveRun(request: ReceivedRequest) {
        if (request.triesLeft > 1) retry(request) else mayHaveRun += 1
    }

    private fun retry(request: ReceivedRequest) {
        if (request.triesLeft > 1) {
            simulation.after(RETRY_DELAY) { receive(request.key, request.triesLeft - 1) }
        }
    }

    private companion object {
        const val OK_STATUS = 200
        const val PREFERRED_ROUTER_PROBABILITY = 0.9
        const val REFUSAL_PROBABILITY = 0.02
        val MEAN_SERVICE_TIME: Duration = Duration.ofMillis(20)
        val RETRY_DELAY: Duration = Duration.ofMillis(1_500)
        val MAX_RESPONSE_WAIT: Duration = Duration.ofSeconds(3)
        val POLL_INTERVAL: Duration = Duration.ofMillis(100)
    }
}

package comfreypath.coordination.overload

import comfreypath.coordination.model.TeamName
import java.time.Duration
import java.util.Random

/** Counts of a replay. Shares are fractions of the requests that callers sent. */
class ReplayResult(
    val answered: Int,
    val onTimeShare: Double,
    val othersOnTimeShare: Double,
    val answeredTooLate: Int,
    val refusedWhileFree: Int,
)

/**
 * Simulates requests of ten teams to plain servers with queues. One of the teams sends a multiple of its usual rate in
 * the middle third of the time. Without a [policy], every request is sent, and servers with a full queue refuse it.
 * Times are in milliseconds.
 */
class SurgeReplay(
    private val policy: OverloadPolicy?,
    private val surgeFactor: Double = 60.0,
    private val endpoints: Int = 3,
    private val perSecond: Double = 90.0,
    private val callerTimeout: Int = 1_000,
) {
    private class Job(val team: Int, val arrivedAt: Int, val work: Int)

    private class Server {
        val queue = ArrayDeque<Job>()
        val running = ArrayList<Pair<Job, Int>>()
        val load: Int get() = queue.size + running.size
    }

    private val random = Random(SEED)
    private val servers = List(endpoints) { Server() }
    private val inProgress = HashMap<TeamName, Int>()
    private val sent = IntArray(TEAMS)
    private val onTime = IntArray(TEAMS)
    private var answered = 0
    private var tooLate = 0
    private var refusedWhileFree = 0

    /** Runs the simulation in steps of a millisecond. */
    fun run(): ReplayResult {
        for (now in 0 until DURATION) {
            finish(now)
            repeat(TEAMS) { team -> arrive(team, now) }
            start(now)
        }
        return ReplayResult(
            answered = answered,
            onTimeShare = onTime.sum().toDouble() / sent.sum(),
            othersOnTimeShare = onTime.drop(1).sum().toDouble() / sent.drop(1).sum(),
            answeredTooLate = tooLate,
            refusedWhileFree = refusedWhileFree,
        )
    }

    private fun arrive(team: Int, now: Int) {
        val factor = if (team == 0 && now in DURATION / 3 until DURATION * 2 / 3) surgeFactor else 1.0
        if (random.nextDouble() < perSecond * factor / TEAMS / 1_000) {
            sent[team]++
            submit(Job(team, now, work = 30 + random.nextInt(61)))
        }
    }

    private fun submit(job: Job) {
        val leastLoaded = servers.minBy { it.load }
        val admission = policy?.admit(
            AdmissionRequest(name(job.team), Duration.ofMillis(callerTimeout.toLong()), random.nextDouble()),
            servers.asSequence().map { Occupancy(it.load, SLOTS) },
            ExpectedTimes(MEAN_WORK, MEAN_WORK),
            inProgress,
        ) ?: Admission.Admitted
        if (admission is Admission.Refused) {
            if (servers.any { it.load < SLOTS }) refusedWhileFree++
        } else if (leastLoaded.queue.size < QUEUE_CAPACITY) {
            inProgress.merge(name(job.team), 1, Int::plus)
            leastLoaded.queue.addLast(job)
        }
    }

    private fun start(now: Int) = servers.forEach { server ->
        while (server.running.size < SLOTS && server.queue.isNotEmpty()) {
            val job = server.queue.removeFirst()
            server.running += job to now + job.work
        }
    }

    private fun finish(now: Int) = servers.forEach { server ->
        val done = server.running.filter { (_, end) -> end <= now }
        server.running.removeAll(done)
        done.forEach { (job, _) ->
            inProgress.computeIfPresent(name(job.team)) { _, count -> (count - 1).takeIf { it > 0 } }
            val elapsed = now - job.arrivedAt
            answered++
            if (elapsed <= TARGET) onTime[job.team]++
            if (elapsed > callerTimeout) tooLate++
        }
    }

    private fun name(team: Int) = TeamName("team-$team")

    private companion object {
        const val SEED = 7L
        const val TEAMS = 10
        const val SLOTS = 6
        const val QUEUE_CAPACITY = 24
        const val DURATION = 12_000
        const val TARGET = 250
        val MEAN_WORK: Duration = Duration.ofMillis(60)
    }
}

package comfreypath.coordination.overload

import comfreypath.coordination.model.TeamName
import java.time.Duration
import java.util.Random

/** What came of a replayed load. */
class ReplayResult(
    val answered: Int,
    val onTime: Double,
    val othersOnTime: Double,
    val answeredTooLate: Int,
    val refusedWhileFree: Int,
)

/**
 * Replays ten teams' requests to plain servers with a queue, one of the teams sending a multiple of its usual for the
 * middle third of the time. Without a [policy] everything is sent on, and servers refuse what their queues don't hold.
 */
class SurgeReplay(
    private val policy: OverloadPolicy?,
    private val surge: Double = 60.0,
    private val endpoints: Int = 3,
    private val perSecond: Double = 90.0,
    private val patience: Int = 1_000,
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
    private val asked = IntArray(TEAMS)
    private val onTime = IntArray(TEAMS)
    private var answered = 0
    private var tooLate = 0
    private var refusedWhileFree = 0

    /** Plays the load, a millisecond at a time. */
    fun run(): ReplayResult {
        for (now in 0 until LENGTH) {
            finish(now)
            repeat(TEAMS) { team -> arrivals(team, now) }
            start(now)
        }
        return ReplayResult(
            answered = answered,
            onTime = onTime.sum().toDouble() / asked.sum(),
            othersOnTime = onTime.drop(1).sum().toDouble() / asked.drop(1).sum(),
            answeredTooLate = tooLate,
            refusedWhileFree = refusedWhileFree,
        )
    }

    private fun arrivals(team: Int, now: Int) {
        val factor = if (team == 0 && now in LENGTH / 3 until LENGTH * 2 / 3) surge else 1.0
        if (random.nextDouble() < perSecond * factor / TEAMS / 1_000) {
            asked[team]++
            offer(Job(team, now, work = 30 + random.nextInt(61)))
        }
    }

    private fun offer(job: Job) {
        val least = servers.minBy { it.load }
        val admission = policy?.admit(
            AdmissionRequest(name(job.team), Duration.ofMillis(patience.toLong()), random.nextDouble()),
            servers.asSequence().map { Occupancy(it.load, SLOTS) },
            ExpectedTimes(MEAN, MEAN),
            inProgress,
        ) ?: Admission.Admitted
        if (admission is Admission.Refused) {
            if (servers.any { it.load < SLOTS }) refusedWhileFree++
        } else if (least.queue.size < QUEUE) {
            inProgress.merge(name(job.team), 1, Int::plus)
            least.queue.addLast(job)
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
            val took = now - job.arrivedAt
            answered++
            if (took <= TARGET) onTime[job.team]++
            if (took > patience) tooLate++
        }
    }

    private fun name(team: Int) = TeamName("team-$team")

    private companion object {
        const val SEED = 7L
        const val TEAMS = 10
        const val SLOTS = 6
        const val QUEUE = 24
        const val LENGTH = 12_000
        const val TARGET = 250
        val MEAN: Duration = Duration.ofMillis(60)
    }
}

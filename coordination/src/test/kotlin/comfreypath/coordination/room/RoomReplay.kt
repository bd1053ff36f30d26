package comfreypath.coordination.room

import comfreypath.coordination.placement.LoadProjection
import comfreypath.coordination.placement.LoadReports
import comfreypath.coordination.placement.ReportedLoad
import java.time.Duration
import java.time.Instant
import java.util.PriorityQueue
import java.util.Random
import kotlin.math.max
import kotlin.math.min

/** One request of a caller through all of its attempts; times in milliseconds. */
internal class Call(val id: Long, val team: Int, val kind: Kind, val sentAt: Int, val work: Int, val router: Int) {
    var attempts = 0
    var onTime = false
    var served = false
    val givesUpAt get() = sentAt + kind.deadline
}

/** Whether a router sends a call on: null, or the retry-after in milliseconds. */
internal interface ReplayPolicy {
    /** Decides on [call]; [room] is what the router knows of the servers. */
    fun refusal(call: Call, room: List<ServerRoom>, own: Map<Int, Int>, now: Int, jitter: Double): Int?
}

/** The last known load of a server, and the one that is expected now. */
internal class ServerRoom(val load: Int, val expected: Double)

/** Replays [pattern] at [ROUTERS] routers, which know the loads of each other as of the last report. */
internal class RoomReplay(
    private val pattern: ReplayPattern,
    seed: Long = 1,
    private val newPolicy: () -> ReplayPolicy,
) {
    private class Server {
        var up = true
        val waiting = PriorityQueue<Call>(compareBy({ it.kind.priority }, { it.sentAt }))
        val running = ArrayList<Pair<Call, Int>>()
    }

    private class Router(var policy: ReplayPolicy) {
        val own = IntArray(SERVERS)
        val teams = HashMap<Int, Int>()
        var reported = IntArray(SERVERS)
        val recent = IntArray(SERVERS)
    }

    private val random = Random(seed)
    private val servers = List(SERVERS) { Server() }
    private val routers = List(ROUTERS) { Router(newPolicy()) }
    private val returning = PriorityQueue<Pair<Int, Call>>(compareBy({ it.first }, { it.second.id }))
    private val calls = ArrayList<Call>()
    private var needlessRefusals = 0
    private var vainWork = 0L
    private var reportedAt = 0

    fun run(): RoomResult {
        for (now in 0 until END step STEP) {
            if (now == TROUBLE.first) begin(now)
            if (now == TROUBLE.last + 1) servers.forEach { it.up = true }
            if (now % REPORT_INTERVAL == 0) report(now)
            servers.forEach { serve(it, now) }
            while (returning.isNotEmpty() && returning.peek().first <= now) submit(returning.poll().second, now)
            repeat(TEAMS) { arrive(it, now) }
        }
        return RoomResult(pattern, calls.toList(), needlessRefusals, vainWork)
    }

    private fun report(now: Int) {
        reportedAt = now
        routers.forEach {
            it.reported = it.own.clone()
            it.recent.fill(0)
        }
    }

    private fun begin(now: Int) {
        val lost = if (pattern.powerLost) servers else servers.take(pattern.serversLost)
        lost.forEach { server ->
            val broken = server.waiting + server.running.map { it.first }.filter { !it.served }
            server.running.filter { it.first.served }.forEach { end(it.first, server) }
            server.waiting.clear()
            server.running.clear()
            broken.forEach { call ->
                end(call, server)
                comeBack(call, retryAfter = random.nextInt(RETURN_SPREAD), now)
            }
        }
        servers.take(pattern.serversLost).forEach { it.up = false }
        if (pattern.powerLost) routers.forEach { it.policy = newPolicy() }
    }

    private fun arrive(team: Int, now: Int) {
        val factor = if (now in TROUBLE) pattern.factor(team) else 1.0
        val perStep = pattern.usual * SERVERS * SLOTS / Kind.entries.sumOf { it.part * it.hold } * STEP / TEAMS * factor
        repeat(perStep.toInt() + if (random.nextDouble() < perStep % 1.0) 1 else 0) {
            val point = random.nextDouble()
            val kind = Kind.entries.first { kind -> point < kind.partUpTo + ROUND }
            val work = (kind.hold * (0.5 + random.nextDouble())).toInt()
            submit(Call(calls.size.toLong(), team, kind, now, work, random.nextInt(ROUTERS)).also(calls::add), now)
        }
    }

    private fun submit(call: Call, now: Int) {
        if (now >= call.givesUpAt) return
        call.attempts++
        val router = routers[call.router]
        val up = servers.indices.filter { servers[it].up }
        val loads =
            IntArray(SERVERS) { s -> router.own[s] + routers.sumOf { if (it === router) 0 else it.reported[s] } }
        val age = Duration.ofMillis(now - reportedAt.toLong())
        val reports = LoadReports(ROUTERS - 1, age, MEAN_HOLD)
        val projection = LoadProjection(reports, age, router.recent.sum(), up.size)
        val room = up.map {
            val load = ReportedLoad(router.own[it], loads[it] - router.own[it], router.recent[it])
            ServerRoom(loads[it], projection.of(load).expected)
        }
        val refusal = router.policy.refusal(call, room, router.teams, now, random.nextDouble())
        if (refusal == null) {
            val (a, b) = up[random.nextInt(up.size)] to up[random.nextInt(up.size)]
            val chosen = if (loads[a] <= loads[b]) a else b
            router.own[chosen]++
            router.recent[chosen]++
            router.teams.merge(call.team, 1, Int::plus)
            servers[chosen].waiting += call
        } else {
            val taken = servers.filter { it.up }.sumOf { it.running.size + it.waiting.size }
            if (taken * 2 < up.size * SLOTS) needlessRefusals++
            comeBack(call, refusal, now)
        }
    }

    private fun comeBack(call: Call, retryAfter: Int, now: Int) {
        val abuses = call.team < pattern.abusers
        val delay = if (abuses) ABUSE_DELAY else min(retryAfter, (call.givesUpAt - now) / 3)
        if (call.attempts <= if (abuses) ABUSE_RETRIES else 1) returning += now + delay to call
    }

    private fun serve(server: Server, now: Int) {
        val ended = server.running.filter { it.second <= now }
        server.running.removeAll(ended)
        ended.forEach { end(it.first, server) }
        server.running.forEach { (call, until) ->
            if (!call.served && now - (until - call.work) >= FIRST_EVENT) {
                call.served = true
                call.onTime = now - call.sentAt <= call.kind.target
            }
        }
        while (server.running.size < SLOTS && server.waiting.isNotEmpty()) {
            val call = server.waiting.poll()
            val patience = call.sentAt + max(MIN_PATIENCE, 4 * call.kind.target)
            if (now > min(call.givesUpAt, patience)) {
                vainWork += call.work
                end(call, server)
            } else {
                server.running += call to now + call.work
            }
        }
    }

    private fun end(call: Call, server: Server) {
        val router = routers[call.router]
        router.own[servers.indexOf(server)]--
        router.teams.computeIfPresent(call.team) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    companion object {
        const val ROUTERS = 12
        const val SERVERS = 9
        const val SLOTS = 16
        const val TEAMS = 24
        const val FIRST_EVENT = 100
        const val END = 45_000
        val TROUBLE = 15_000 until 30_000
        val MEAN_HOLD: Duration = milliseconds(Kind.entries.sumOf { it.part * it.hold }.toInt())
        private const val STEP = 5
        private const val REPORT_INTERVAL = 500
        private const val RETURN_SPREAD = 300
        private const val ABUSE_DELAY = 40
        private const val ABUSE_RETRIES = 6
        private const val MIN_PATIENCE = 2_000
        private const val ROUND = 1e-9

        fun instant(now: Int): Instant = Instant.EPOCH.plusMillis(now.toLong())

        fun milliseconds(time: Int): Duration = Duration.ofMillis(time.toLong())
    }
}

/** What the callers of a replay got. Shares are of the work that they asked for, by the time of their first attempt. */
internal class RoomResult(
    private val pattern: ReplayPattern,
    private val calls: List<Call>,
    val needlessRefusals: Int,
    val vainWork: Long,
) {
    private val troubled = calls.filter { it.sentAt in RoomReplay.TROUBLE }

    /** The share of work on time over the whole replay. */
    val onTime: Double = share(calls) { it.onTime }

    /** The share of work on time in the time of trouble of the teams that send as usual. */
    val othersOnTime: Double = share(troubled.filter { it.team != 0 }) { it.onTime }

    val served: Double = share(calls) { it.served }
    val servedByKind: Map<Kind, Double> = calls.groupBy { it.kind }.mapValues { (_, some) -> share(some) { it.served } }
    val servedByTeam: Map<Int, Double> = calls.groupBy { it.team }.mapValues { (_, some) -> share(some) { it.served } }
    private val onTimeByKind = calls.groupBy { it.kind }.mapValues { (_, some) -> share(some) { it.onTime } }

    /** At most the work that all slots can do is on time, and none beyond what is asked for. */
    val bound: Double
        get() {
            val thirds =
                listOf(
                    0 until RoomReplay.TROUBLE.first,
                    RoomReplay.TROUBLE,
                    RoomReplay.TROUBLE.last + 1 until RoomReplay.END
                )
            val possible = thirds.sumOf { third ->
                val lost = if (third == RoomReplay.TROUBLE) pattern.serversLost else 0
                val slots = (RoomReplay.SERVERS - lost) * RoomReplay.SLOTS
                val time = third.last - third.first + Kind.entries.maxOf { it.target }
                min(calls.filter { it.sentAt in third }.sumOf { it.work.toDouble() }, slots.toDouble() * time)
            }
            return possible / calls.sumOf { it.work.toDouble() }
        }

    override fun toString() =
        "onTime=%.3f bound=%.3f others=%.3f byKind=%s team0=%.3f worstTeam=%.3f needless=%d vain=%d ms"
            .format(
                onTime,
                bound,
                othersOnTime,
                onTimeByKind.toSortedMap().mapValues { "%.3f".format(it.value) },
                servedByTeam.getValue(0),
                servedByTeam.values.min(),
                needlessRefusals,
                vainWork,
            )

    private fun share(some: List<Call>, counts: (Call) -> Boolean): Double =
        some.filter(counts).sumOf { it.work.toDouble() } / some.sumOf { it.work.toDouble() }
}

private val Kind.partUpTo get() = Kind.entries.filter { it <= this }.sumOf { it.part }

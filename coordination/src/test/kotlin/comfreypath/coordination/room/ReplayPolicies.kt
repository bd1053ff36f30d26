package comfreypath.coordination.room

import comfreypath.coordination.model.TeamName
import comfreypath.coordination.overload.Admission
import comfreypath.coordination.overload.AdmissionRequest
import comfreypath.coordination.overload.ExpectedTimes
import comfreypath.coordination.overload.Occupancy
import comfreypath.coordination.overload.OverloadPolicy
import kotlin.math.max
import kotlin.math.min

/** Sends every call to the less loaded of two servers. */
internal class SendAll : ReplayPolicy {
    override fun refusal(call: Call, room: List<ServerRoom>, own: Map<Int, Int>, now: Int, jitter: Double): Int? = null
}

/** The policy of services whose endpoints tell no pace. */
internal class ByRequests : ReplayPolicy {
    private val policy = OverloadPolicy()
    private val holdTime = RoomReplay.milliseconds(Kind.entries.sumOf { it.part * it.hold }.toInt())

    override fun refusal(call: Call, room: List<ServerRoom>, own: Map<Int, Int>, now: Int, jitter: Double): Int? {
        val admission = policy.admit(
            AdmissionRequest(TeamName("team-${call.team}"), RoomReplay.milliseconds(call.patience(now)), jitter),
            room.asSequence().map { Occupancy(it.load, RoomReplay.SLOTS) },
            ExpectedTimes(holdTime, RoomReplay.milliseconds(RoomReplay.FIRST_EVENT)),
            own.mapKeys { TeamName("team-${it.key}") },
        )
        return (admission as? Admission.Refused)?.retryAfter?.toMillis()?.toInt()
    }
}

/** [RoomPolicy] at one router. */
internal class ByWork : ReplayPolicy {
    private val policy = RoomPolicy()
    private var state = RoomState()

    override fun refusal(call: Call, room: List<ServerRoom>, own: Map<Int, Int>, now: Int, jitter: Double): Int? {
        val decision = policy.decide(
            state,
            RoomRequest(
                kind = call.kind.name,
                team = TeamName("team-${call.team}"),
                priority = call.kind.priority,
                size = call.work.toDouble(),
                timeLeft = RoomReplay.milliseconds(call.patience(now)),
                target = RoomReplay.milliseconds(call.kind.target),
                budget = RoomReplay.milliseconds(call.givesUpAt - now),
                identity = call.id,
                jitter = jitter,
            ),
            ServiceRoom.of(
                room.map { EndpointLoad(it.expected, RoomReplay.SLOTS) },
                own.values.sum(),
                peers = RoomReplay.ROUTERS - 1,
                reportAge = RoomReplay.milliseconds(250),
                pace = 1.0
            ),
            ExpectedTimes(RoomReplay.milliseconds(call.kind.hold), RoomReplay.milliseconds(RoomReplay.FIRST_EVENT)),
            RoomReplay.instant(now),
        )
        state = decision.state
        return (decision.admission as? Admission.Refused)?.retryAfter?.toMillis()?.toInt()
    }
}

private fun Call.patience(now: Int) = min(givesUpAt, sentAt + max(2_000, 4 * kind.target)) - now

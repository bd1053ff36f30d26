package comfreypath.router.sending

import comfreypath.coordination.endpointload.RoomEstimator
import comfreypath.coordination.placement.Candidate
import comfreypath.coordination.placement.LoadProjection
import comfreypath.coordination.placement.LoadReports
import comfreypath.coordination.placement.ReportedLoad
import comfreypath.coordination.placement.meanLoad
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.request.LivePeers
import java.time.Duration
import java.time.Instant
import kotlin.math.roundToInt

/** Adds up the requests in flight at endpoints from this router and its live peers. */
class EndpointLoads(private val tracker: EndpointTracker, private val peers: LivePeers) {
    /** The number of requests in flight at [endpoint], as last reported. */
    fun of(endpoint: Endpoint): Int {
        val entry = tracker.entry(endpoint.name)
        return entry.inFlight + peers.inFlight(entry.nameHash)
    }

    /**
     * The [eligible] endpoints of a service with their loads at [now].
     *
     * @param holdTime the mean time for which a request of the service is in flight; null if it is not known
     */
    fun candidates(eligible: List<Endpoint>, holdTime: Duration?, now: Instant): List<Candidate> {
        val reports = LoadReports(peers.names.size, peers.loadsAge, holdTime)
        val entries = eligible.map { tracker.entry(it.name) }
        val window = LoadProjection.window(reports, eligible.size) { ago ->
            val since = now - ago
            entries.sumOf { it.sentSince(since) }
        }
        val since = now - window
        val recent = IntArray(entries.size) { entries[it].sentSince(since) }
        val projection = LoadProjection(reports, window, recent.sum(), eligible.size)
        return eligible.mapIndexed { index, endpoint ->
            val entry = entries[index]
            val load = ReportedLoad(entry.inFlight, peers.inFlight(entry.nameHash), recent[index])
            val told = entry.told?.takeIf { it.isCurrent(now) }
            val room = told?.room?.takeIf { RoomEstimator.isRecent(it, holdTime, now) }
            val estimate = if (room == null) projection.of(load) else RoomEstimator.join(room, load, projection, now)
            Candidate(
                endpoint = endpoint,
                nameHash = entry.nameHash,
                load = if (room == null) load.own + load.atPeers else estimate.expected.roundToInt(),
                estimate = estimate,
                pace = told?.pace?.during(holdTime, now) ?: 1.0,
                tellsPace = told != null,
            )
        }
    }

    /** The mean load of [registered] endpoints, of which requests may go to [candidates]; 0 if there are none. */
    fun mean(registered: List<Endpoint>, candidates: List<Candidate>): Double {
        val others = if (registered.size == candidates.size) {
            0
        } else {
            registered.sumOf { of(it) } - candidates.sumOf { if (it.tellsPace) of(it.endpoint) else it.load }
        }
        val count = registered.size
        return if (count == 0) 0.0 else (candidates.meanLoad() * candidates.size + others) / count
    }
}

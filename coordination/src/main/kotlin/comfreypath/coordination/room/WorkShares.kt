package comfreypath.coordination.room

/** No priority is served less than this part of what all are served on average, nor is any team. */
private const val LEAST_SHARE_OF_MEAN = 0.35
private const val BISECTION_STEPS = 30

/**
 * Divides room that is too small for the work that is offered.
 *
 * Load pattern: rival teams compete for a service; one offers many times its usual work, and urgent and less urgent
 * kinds of requests share the endpoints. Teams share by max-min of work: a team that offers less than an equal share
 * gets all of it, and what it leaves goes to the others. Of what a team gets, its urgent requests are served first.
 * Where all teams offer too much, the urgent requests of all are therefore served first; where one does, its urgent
 * requests take nothing from the others. Every team, and every priority of it, keeps a part of the mean, so that
 * none starves.
 */
object WorkShares {
    /**
     * The part of its work that each flow is served, from 0 to 1.
     *
     * @param offered the work that each flow offers, in any unit
     * @param served the part of all work that there is room for
     */
    fun divide(offered: Map<Flow, Double>, served: Double): Map<Flow, Double> {
        val least = LEAST_SHARE_OF_MEAN * served.coerceIn(0.0, 1.0)
        val byTeam = offered.entries.groupBy { it.key.team }
        val wanted = byTeam.mapValues { (_, flows) -> flows.sumOf { it.value } }
        val level = level(wanted.values, served.coerceIn(0.0, 1.0) * offered.values.sum(), least)
        val shares = HashMap<Flow, Double>(offered.size * 2)
        byTeam.forEach { (team, flows) ->
            val work = wanted.getValue(team)
            byPriority(flows, work * share(work, level, least), shares)
        }
        return shares
    }

    /** Divides what a team is [given] among its [flows], the more urgent ones first. */
    private fun byPriority(flows: List<Map.Entry<Flow, Double>>, given: Double, shares: MutableMap<Flow, Double>) {
        var lessUrgent = flows.sumOf { it.value }
        val least = if (lessUrgent > 0.0) LEAST_SHARE_OF_MEAN * given / lessUrgent else 0.0
        var remaining = given
        flows.sortedBy { it.key.priority }.forEach { (flow, work) ->
            lessUrgent -= work
            val part = minOf(work, remaining - least * lessUrgent).coerceAtLeast(least * work)
            remaining -= part
            shares[flow] = if (work > 0.0) part / work else 1.0
        }
    }

    /** The work up to which every team is served whole, so that all of them together get [given]. */
    private fun level(wanted: Collection<Double>, given: Double, least: Double): Double {
        var low = 0.0
        var high = wanted.maxOrNull() ?: 0.0
        if (wanted.sum() <= given) return high
        repeat(BISECTION_STEPS) {
            val middle = (low + high) / 2
            if (wanted.sumOf { it * share(it, middle, least) } > given) high = middle else low = middle
        }
        return low
    }

    private fun share(wanted: Double, level: Double, least: Double): Double =
        if (wanted <= level) 1.0 else maxOf(least, level / wanted)
}

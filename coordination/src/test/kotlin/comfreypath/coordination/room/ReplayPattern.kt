package comfreypath.coordination.room

/** A kind of streamed request; times in milliseconds. */
enum class Kind(val hold: Int, val target: Int, val deadline: Int, val priority: Int, val part: Double) {
    QUOTE(hold = 800, target = 500, deadline = 6_000, priority = 0, part = 0.4),
    DRAFT(hold = 1_600, target = 1_500, deadline = 9_000, priority = 1, part = 0.2),
    TAG(hold = 200, target = 600, deadline = 3_000, priority = 2, part = 0.4),
}

/**
 * The load of a replay, whose middle third is the time of trouble.
 *
 * @property usual the usual work relative to the slots
 * @property factor the multiple of the usual rate that a team sends in the time of trouble
 * @property abusers the teams whose callers return at once and often
 * @property serversLost the servers that are lost in the time of trouble
 * @property powerLost whether all work and all that routers know is lost at the beginning of the time of trouble
 */
enum class ReplayPattern(
    val usual: Double,
    val factor: (Int) -> Double = { 1.0 },
    val abusers: Int = 0,
    val serversLost: Int = 0,
    val powerLost: Boolean = false,
) {
    RIVALS(usual = 0.6, factor = { if (it == 0) RIVAL_FACTOR else 1.0 }),
    WITHOUT_RIVAL(usual = 0.6),
    SURGE(usual = 0.7, factor = { 3.0 }),
    RETRY_ABUSE(usual = 0.7, factor = { if (it < 6) 6.0 else 1.0 }, abusers = 6),
    HOT_KEY(usual = 0.7, factor = { if (it % 6 == 0) 12.0 else 1.0 }),
    POWER_RETURNED(usual = 0.9, powerLost = true),
    ZONE_LOST_AT_PEAK(usual = 0.9, serversLost = 3),
}

private const val RIVAL_FACTOR = 60.0

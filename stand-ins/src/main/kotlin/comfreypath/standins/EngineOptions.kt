package comfreypath.standins

import java.time.Duration

private const val DEFAULT_SLOTS = 16
private const val DEFAULT_COLD_SLOTS = 2
private const val DEFAULT_TOKEN_MILLISECONDS = 2L
private const val DEFAULT_PREFILL_MICROSECONDS = 20L
private const val DEFAULT_CACHE_TOKENS = 200_000L
private const val DEFAULT_COLD_FACTOR = 4
private const val DEFAULT_ABANDON_SECONDS = 5L

/**
 * The parameters of an engine stand-in.
 *
 * @property slots the maximum number of completions that are generated at once; others wait
 * @property coldSlots the maximum number of completions in flight while the engine is cold; above it, new ones fail for
 * two seconds
 * @property warmUp the time after a start during which the engine is cold
 * @property tokenTime the time to generate one token, which is one chunk
 * @property prefillTime the time to process one prompt token that is not in the prefix cache
 * @property cacheTokens the capacity of the prefix cache in tokens
 * @property coldFactor the factor by which generation is slowed down while the engine is cold
 * @property abandonAfter the time after which a completion that nobody reads is cancelled
 */
data class EngineOptions(
    val version: String = "v1",
    val slots: Int = DEFAULT_SLOTS,
    val coldSlots: Int = DEFAULT_COLD_SLOTS,
    val warmUp: Duration = Duration.ZERO,
    val tokenTime: Duration = Duration.ofMillis(DEFAULT_TOKEN_MILLISECONDS),
    val prefillTime: Duration = Duration.ofNanos(DEFAULT_PREFILL_MICROSECONDS * NANOSECONDS_PER_MICROSECOND),
    val cacheTokens: Long = DEFAULT_CACHE_TOKENS,
    val coldFactor: Int = DEFAULT_COLD_FACTOR,
    val abandonAfter: Duration = Duration.ofSeconds(DEFAULT_ABANDON_SECONDS),
)

private const val NANOSECONDS_PER_MICROSECOND = 1_000L

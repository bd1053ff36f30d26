package comfreypath.standins

import comfreypath.openai.ChatCompletionRequest
import comfreypath.transport.dispatcher
import io.netty.channel.EventLoop
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

private const val OVERLOAD_FAILURE_SECONDS = 2L
private const val MAX_ENDED_RETAINED = 512
private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

/** Generates the completions of an engine stand-in: [EngineOptions.slots] at once, while others wait. */
internal class EngineBatch(loop: EventLoop, private val options: EngineOptions, private val clock: InstantSource) {
    private val scope = CoroutineScope(loop.dispatcher() + SupervisorJob())
    private val slots = Semaphore(options.slots)
    private val retained = LinkedHashMap<String, Generation>()
    private var startedAt: Instant = clock.instant()
    private var failingUntil: Instant = Instant.EPOCH

    /** The retained completions by request ID: all in progress, and the latest that have ended. */
    val generations: Map<String, Generation> get() = retained

    private val cache = PrefixCache(options.cacheTokens)
    var faults = EngineFaults()
        private set
    var counts = EngineCounts()
        private set
    var inFlight = 0
        private set

    fun isCold(): Boolean = clock.instant() < startedAt + options.warmUp

    fun setFaults(newFaults: EngineFaults) {
        if (newFaults.restart) {
            startedAt = clock.instant()
            cache.clear()
        }
        faults = newFaults
    }

    /** Starts a completion, or returns null while the engine fails. */
    fun start(id: String, request: ChatCompletionRequest): Generation? {
        if (faults.failing || clock.instant() < failingUntil) {
            return null
        }
        val generation = Generation(id)
        retain(generation)
        recordStart()
        generation.job = scope.launch { run(generation, request) }
        return generation
    }

    private fun retain(generation: Generation) {
        retained[generation.id] = generation
        if (retained.size > MAX_ENDED_RETAINED + inFlight) {
            retained.values.firstOrNull { it.ended }?.let { retained.remove(it.id) }
        }
    }

    private fun recordStart() {
        inFlight += 1
        val capacity = if (isCold()) options.coldSlots else options.slots
        val overloaded = inFlight > capacity
        if (overloaded && isCold()) {
            failingUntil = clock.instant().plusSeconds(OVERLOAD_FAILURE_SECONDS)
        }
        counts = counts.copy(
            started = counts.started + 1,
            peakInFlight = maxOf(counts.peakInFlight, inFlight),
            overloads = counts.overloads + if (overloaded) 1 else 0,
        )
    }

    fun cancel(id: String) {
        val generation = generations[id] ?: return
        if (!generation.ended) {
            counts = counts.copy(cancelled = counts.cancelled + 1)
            generation.job?.cancel()
        }
    }

    fun stop() = scope.cancel()

    private suspend fun run(generation: Generation, request: ChatCompletionRequest) {
        try {
            slots.withPermit { generate(generation, request) }
        } finally {
            inFlight -= 1
            generation.end()
        }
    }

    private suspend fun generate(generation: Generation, request: ChatCompletionRequest) {
        val cacheKey = request.promptCacheKey ?: generation.id
        val promptTokens = EngineResponse.promptTokens(request)
        val cachedTokens = cache.cachedTokens(cacheKey, promptTokens)
        work(options.prefillTime.multipliedBy((promptTokens - cachedTokens).toLong()))
        var unreadSince: Instant? = null
        for (index in 0 until request.maxTokens) {
            work(options.tokenTime)
            generation.add(EngineResponse.chunk(generation.id, request, index, cachedTokens))
            unreadSince = if (generation.readerCount > 0) null else unreadSince ?: clock.instant()
            if (unreadSince != null && clock.instant() > unreadSince + options.abandonAfter) {
                counts = counts.copy(cancelled = counts.cancelled + 1)
                return
            }
        }
        cache.put(cacheKey, promptTokens + request.maxTokens)
        counts = counts.copy(
            completed = counts.completed + 1,
            promptTokens = counts.promptTokens + promptTokens,
            cachedTokens = counts.cachedTokens + cachedTokens,
        )
    }

    private suspend fun work(duration: Duration) {
        val factor = faults.slowFactor.toLong() * if (isCold()) options.coldFactor else 1
        val slowed = duration.multipliedBy(factor)
        val milliseconds = (slowed.toNanos() + NANOSECONDS_PER_MILLISECOND / 2) / NANOSECONDS_PER_MILLISECOND
        if (milliseconds > 0) {
            delay(milliseconds)
        }
    }
}

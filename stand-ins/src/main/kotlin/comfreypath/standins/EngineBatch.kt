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

private const val FALLEN_SECONDS = 2L
private const val FINISHED_KEPT = 512
private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

/** The completions of an engine stand-in: at most so many are generated at once, and others wait. */
internal class EngineBatch(loop: EventLoop, private val options: EngineOptions, private val clock: InstantSource) {
    private val scope = CoroutineScope(loop.dispatcher() + SupervisorJob())
    private val slots = Semaphore(options.slots)
    private val known = LinkedHashMap<String, Generation>()
    private var startedAt: Instant = clock.instant()
    private var fallenUntil: Instant = Instant.EPOCH

    /** The completions that are still known, by the identity of their request. */
    val generations: Map<String, Generation> get() = known

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

    /** Starts a completion; null when the engine fails. */
    fun start(id: String, request: ChatCompletionRequest): Generation? {
        if (faults.failing || clock.instant() < fallenUntil) {
            return null
        }
        val generation = Generation(id)
        remember(generation)
        countStart()
        generation.job = scope.launch { run(generation, request) }
        return generation
    }

    private fun remember(generation: Generation) {
        known[generation.id] = generation
        if (known.size > FINISHED_KEPT + inFlight) {
            known.values.firstOrNull { it.ended }?.let { known.remove(it.id) }
        }
    }

    private fun countStart() {
        inFlight += 1
        val bears = if (isCold()) options.coldSlots else options.slots
        val overloaded = inFlight > bears
        if (overloaded && isCold()) {
            fallenUntil = clock.instant().plusSeconds(FALLEN_SECONDS)
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
        val chat = request.promptCacheKey ?: generation.id
        val promptTokens = EngineResponse.promptTokens(request)
        val cached = cache.cachedTokens(chat, promptTokens)
        pause(options.prefillTime.multipliedBy((promptTokens - cached).toLong()))
        var unreadSince: Instant? = null
        for (number in 0 until request.maxTokens) {
            pause(options.tokenTime)
            generation.add(EngineResponse.chunk(generation.id, request, number, cached))
            unreadSince = if (generation.readers > 0) null else unreadSince ?: clock.instant()
            if (unreadSince != null && clock.instant() > unreadSince + options.abandonAfter) {
                counts = counts.copy(cancelled = counts.cancelled + 1)
                return
            }
        }
        cache.put(chat, promptTokens + request.maxTokens)
        counts = counts.copy(
            completed = counts.completed + 1,
            promptTokens = counts.promptTokens + promptTokens,
            cachedTokens = counts.cachedTokens + cached,
        )
    }

    private suspend fun pause(time: Duration) {
        val factor = faults.slowFactor.toLong() * if (isCold()) options.coldFactor else 1
        val slowed = time.multipliedBy(factor)
        val milliseconds = (slowed.toNanos() + NANOSECONDS_PER_MILLISECOND / 2) / NANOSECONDS_PER_MILLISECOND
        if (milliseconds > 0) {
            delay(milliseconds)
        }
    }
}

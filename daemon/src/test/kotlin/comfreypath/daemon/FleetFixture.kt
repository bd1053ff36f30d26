package comfreypath.daemon

import comfreypath.daemon.demo.Caller
import comfreypath.daemon.demo.CallerOutcome
import comfreypath.daemon.demo.LocalFleet
import comfreypath.daemon.demo.LocalFleetOptions
import comfreypath.openai.ChatCompletionRequest
import comfreypath.openai.ChatMessage
import comfreypath.standins.Booking
import comfreypath.standins.EngineFaults
import comfreypath.transport.dispatcher
import kotlinx.coroutines.withContext

/** Runs a small fleet with the OpenAI-style interface, and sends requests to it. */
class FleetFixture(options: LocalFleetOptions = LocalFleetOptions(routers = 3, engines = 3, services = 3)) {
    val fleet = LocalFleet(options)
    private val caller = Caller(fleet.callerLoop)

    /** Runs [test] between start and stop of the fleet, and expects that no invariant was violated. */
    fun run(test: suspend FleetFixture.() -> Unit) =
        runWithFleet(fleet::start, fleet::stop, fleet.violations) { test() }

    fun chatRequest(text: String, tokens: Int = 8) = ChatCompletionRequest(
        model = fleet.layout.model,
        messages = listOf(ChatMessage("user", text)),
        stream = true,
        maxTokens = tokens,
        promptCacheKey = text,
    )

    suspend fun sendChat(
        request: ChatCompletionRequest,
        router: Int = 0,
        key: String = fleet.layout.apiKey(0),
    ): CallerOutcome {
        val address = fleet.routers[router].options.callerAddress
        return withContext(fleet.callerLoop.dispatcher()) { caller.chat(address, key, request) }
    }

    suspend fun sendBooking(receipt: String, idempotencyKey: String = receipt, router: Int = 0): CallerOutcome {
        val address = fleet.routers[router].options.callerAddress
        return withContext(fleet.callerLoop.dispatcher()) {
            caller.book(address, fleet.layout.apiKey(1), fleet.layout.bookingPath, Booking(receipt), idempotencyKey)
        }
    }

    suspend fun setEngineFaults(faults: EngineFaults) = fleet.engines.forEach { engine ->
        withContext(engine.loop.dispatcher()) { engine.engine.setFaults(faults) }
    }

    fun runCount(receipt: String): Int = fleet.services.sumOf { it.service.counts().runs[receipt] ?: 0 }
}

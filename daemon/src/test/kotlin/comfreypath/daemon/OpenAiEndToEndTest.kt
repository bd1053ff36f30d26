package comfreypath.daemon

import comfreypath.daemon.demo.Caller
import comfreypath.daemon.demo.CallerOutcome
import comfreypath.daemon.demo.LocalFleet
import comfreypath.daemon.demo.LocalFleetOptions
import comfreypath.openai.ChatCompletionRequest
import comfreypath.openai.ChatMessage
import comfreypath.standins.Booking
import comfreypath.standins.EngineResponse
import comfreypath.transport.dispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OpenAiEndToEndTest {
    private val fleet = LocalFleet(LocalFleetOptions(routers = 3, engines = 3, services = 3))
    private val caller = Caller(fleet.callerLoop)

    @BeforeAll
    fun start() = runBlocking { fleet.start() }

    @AfterAll
    fun stop() {
        runBlocking { fleet.stop() }
        expectThat(fleet.violations.toList()).isEmpty()
    }

    private fun chatRequest(text: String, stream: Boolean = true) = ChatCompletionRequest(
        model = fleet.layout.model,
        messages = listOf(ChatMessage("user", text)),
        stream = stream,
        maxTokens = 8,
        promptCacheKey = text,
    )

    @Test
    fun `a streamed chat is answered through every router`() {
        val request = chatRequest("slate roof in Oulu")
        val outcomes = runBlocking {
            withContext(fleet.callerLoop.dispatcher()) {
                fleet.routers.map { caller.chat(it.options.callerAddress, fleet.layout.apiKey(0), request) }
            }
        }
        outcomes.forEach { outcome ->
            expectThat(outcome).isA<CallerOutcome.Answered>()
                .get { text }.isEqualTo(EngineResponse.text(request))
        }
    }

    @Test
    fun `a booking with the same key at every router runs once`() {
        val outcomes = runBlocking {
            withContext(fleet.callerLoop.dispatcher()) {
                fleet.routers.map {
                    caller.book(
                        it.options.callerAddress,
                        fleet.layout.apiKey(1),
                        fleet.layout.bookingPath,
                        Booking("receipt-1"),
                        "once-1"
                    )
                }
            }
        }
        expectThat(outcomes.filterIsInstance<CallerOutcome.Answered>()).isEqualTo(
            outcomes.map { CallerOutcome.Answered("receipt-1") },
        )
        expectThat(fleet.services.sumOf { it.service.counts().runs["receipt-1"] ?: 0 }).isEqualTo(1)
    }
}

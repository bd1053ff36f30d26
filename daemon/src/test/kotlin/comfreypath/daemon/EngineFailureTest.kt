package comfreypath.daemon

import comfreypath.daemon.demo.CallerOutcome
import comfreypath.standins.EngineFaults
import comfreypath.standins.EngineResponse
import comfreypath.transport.dispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class EngineFailureTest {
    private fun expectAnswered(outcome: CallerOutcome, text: String) =
        expectThat(outcome).isA<CallerOutcome.Answered>().get { this.text }.isEqualTo(text)

    @Test
    fun `a truncated stream is resumed without a gap`() = FleetFixture().run {
        setEngineFaults(EngineFaults(cutAfterPieces = 3))
        repeat(3) { router ->
            val request = chatRequest("breaks through router $router")
            expectAnswered(sendChat(request, router), EngineResponse.text(request))
        }
    }

    @Test
    fun `repeated chunks and chunks of other requests are dropped`() = FleetFixture().run {
        setEngineFaults(EngineFaults(repeatPieces = true, crossPieces = true))
        repeat(3) { router ->
            val request = chatRequest("noise through router $router")
            expectAnswered(sendChat(request, router), EngineResponse.text(request))
        }
    }

    @Test
    fun `a chat whose engine stops responding is answered by another`() = FleetFixture().run {
        val request = chatRequest("silent engine")
        val preferred = fleet.engines.maxBy { engine ->
            val before = engine.engine.counts.started
            sendChat(request)
            engine.engine.counts.started - before
        }
        withContext(preferred.loop.dispatcher()) { preferred.engine.setFaults(EngineFaults(silent = true)) }
        expectAnswered(sendChat(request), EngineResponse.text(request))
    }

    @Test
    fun `chats are answered by other engines while one engine fails`() = FleetFixture().run {
        val failing = fleet.engines.first()
        withContext(failing.loop.dispatcher()) { failing.engine.setFaults(EngineFaults(failing = true)) }
        repeat(20) { number ->
            val request = chatRequest("chat $number")
            expectAnswered(sendChat(request, router = number % 3), EngineResponse.text(request))
        }
    }

    @Test
    fun `a chat is answered in full when the owner of its engine is killed`() = FleetFixture().run {
        val request = chatRequest("owner ends", tokens = 400)
        coroutineScope {
            val outcomes = (0..1).map { router -> async { sendChat(request, router) } }
            delay(300)
            fleet.killRouter(fleet.routers.last().options.name)
            outcomes.forEach { expectAnswered(it.await(), EngineResponse.text(request)) }
        }
    }

    @Test
    fun `a disconnected caller does not affect the completions of other callers`() = FleetFixture().run {
        val long = chatRequest("leaves", tokens = 5_000)
        val other = chatRequest("stays", tokens = 300)
        coroutineScope {
            val cancelled = async { sendChat(long) }
            val unaffected = async { sendChat(other) }
            delay(300)
            cancelled.cancel()
            expectAnswered(unaffected.await(), EngineResponse.text(other))
        }
    }

    @Test
    fun `a graceful stop under load aborts no request`() = FleetFixture().run {
        coroutineScope {
            val outcomes = (0 until 60).map { number ->
                async {
                    delay(number * 20L)
                    sendChat(chatRequest("stop $number", tokens = 100), router = if (number < 30) 0 else 1)
                }
            }
            delay(400)
            val draining = fleet.routers.first().options.name
            val stopped = async { fleet.stopRouter(draining) }
            outcomes.forEach { expectThat(it.await()).isA<CallerOutcome.Answered>() }
            stopped.await()
        }
        expectThat(fleet.routers.size).isEqualTo(2)
        expectThat(fleet.engines.sumOf { it.engine.counts.completed }).isGreaterThan(59)
    }
}

package comfreypath.daemon

import comfreypath.daemon.demo.CallerOutcome
import comfreypath.standins.EngineAnswer
import comfreypath.standins.EngineFaults
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
    private fun expectWhole(outcome: CallerOutcome, text: String) =
        expectThat(outcome).isA<CallerOutcome.Answered>().get { this.text }.isEqualTo(text)

    @Test
    fun `a stream that breaks is read on without a gap`() = FleetFixture().run {
        setEngineFaults(EngineFaults(cutAfterPieces = 3))
        repeat(3) { router ->
            val request = chatRequest("breaks through router $router")
            expectWhole(sendChat(request, router), EngineAnswer.text(request))
        }
    }

    @Test
    fun `repeated pieces and pieces of other requests are dropped`() = FleetFixture().run {
        setEngineFaults(EngineFaults(repeatPieces = true, crossPieces = true))
        repeat(3) { router ->
            val request = chatRequest("noise through router $router")
            expectWhole(sendChat(request, router), EngineAnswer.text(request))
        }
    }

    @Test
    fun `a chat whose engine falls silent is answered by another`() = FleetFixture().run {
        val request = chatRequest("silent engine")
        val home = fleet.engines.maxBy { engine ->
            val before = engine.engine.counts.started
            sendChat(request)
            engine.engine.counts.started - before
        }
        withContext(home.loop.dispatcher()) { home.engine.set(EngineFaults(silent = true)) }
        expectWhole(sendChat(request), EngineAnswer.text(request))
    }

    @Test
    fun `a failing engine gets few requests and chats go elsewhere`() = FleetFixture().run {
        val failing = fleet.engines.first()
        withContext(failing.loop.dispatcher()) { failing.engine.set(EngineFaults(failing = true)) }
        repeat(20) { number ->
            val request = chatRequest("chat $number")
            expectWhole(sendChat(request, router = number % 3), EngineAnswer.text(request))
        }
    }

    @Test
    fun `a chat goes on whole when its engine's owner ends without notice`() = FleetFixture().run {
        val request = chatRequest("owner ends", tokens = 400)
        coroutineScope {
            val answers = (0..1).map { router -> async { sendChat(request, router) } }
            delay(300)
            fleet.killRouter(fleet.routers.last().options.name)
            answers.forEach { expectWhole(it.await(), EngineAnswer.text(request)) }
        }
    }

    @Test
    fun `a caller that leaves has its completion cancelled and takes nothing else with it`() = FleetFixture().run {
        val long = chatRequest("leaves", tokens = 5_000)
        val other = chatRequest("stays", tokens = 300)
        coroutineScope {
            val leaving = async { sendChat(long) }
            val staying = async { sendChat(other) }
            delay(300)
            leaving.cancel()
            expectWhole(staying.await(), EngineAnswer.text(other))
        }
    }

    @Test
    fun `a graceful stop under load cuts nothing`() = FleetFixture().run {
        coroutineScope {
            val answers = (0 until 60).map { number ->
                async {
                    delay(number * 20L)
                    sendChat(chatRequest("stop $number", tokens = 100), router = if (number < 30) 0 else 1)
                }
            }
            delay(400)
            val leaving = fleet.routers.first().options.name
            val stopped = async { fleet.stopRouter(leaving) }
            answers.forEach { expectThat(it.await()).isA<CallerOutcome.Answered>() }
            stopped.await()
        }
        expectThat(fleet.routers.size).isEqualTo(2)
        expectThat(fleet.engines.sumOf { it.engine.counts.completed }).isGreaterThan(59)
    }
}

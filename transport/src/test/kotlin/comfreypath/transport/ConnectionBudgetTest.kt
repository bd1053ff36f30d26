package comfreypath.transport

import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpResponseStatus
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class ConnectionBudgetTest {
    private val budget = ConnectionBudget { 2 }
    private var closed = 0

    @Test
    fun `a connection counts until it is closed`() {
        val channels = List(2) { EmbeddedChannel().also(budget::add) }
        expectThat(budget.full).isTrue()
        channels.first().close()
        expectThat(budget.full).isFalse()
        expectThat(budget.open).isEqualTo(1)
    }

    @Test
    fun `one connection without a request is closed for another, of the first server that has one`() {
        budget.addServer { false }
        budget.addServer { true.also { closed += 1 } }
        budget.addServer { true.also { closed += 1 } }
        budget.makeRoom()
        expectThat(closed).isEqualTo(0)
        repeat(2) { budget.add(EmbeddedChannel()) }
        budget.makeRoom()
        expectThat(closed).isEqualTo(1)
    }

    @Test
    fun `servers that share a budget close a connection that was left for a new one of any of them`() {
        val shared = ConnectionBudget { 3 }
        ServerFixture(HttpServerOptions(), BodyMemory(Long.MAX_VALUE, Long.MAX_VALUE, shared)) { _, writer ->
            writer.respond(HttpResponseStatus.OK, emptyMap(), ByteArray(0))
        }.run {
            val left = List(3) { RawClient(address) }
            eventually("the connections are open") { server.connectionCount == 3 }
            Thread.sleep(MIN_IDLE_TEST_MILLISECONDS)
            RawClient(address).use {
                it.get("/")
                expectThat(it.read()?.status).isEqualTo(200)
            }
            expectThat(left.count { client -> runCatching { client.awaitEnd() }.getOrDefault(false) }).isEqualTo(1)
        }
    }

    private companion object {
        const val MIN_IDLE_TEST_MILLISECONDS = 600L
    }
}

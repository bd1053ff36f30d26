package comfreypath.daemon

import com.github.michaelbull.result.fold
import comfreypath.daemon.demo.PlatformCaller
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.standins.PlatformServerStandIn
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.net.Socket

/** Runs a router with the heap of the deployment, since the heap of the tests hides what it would not hold. */
class RouterMemoryTest {
    private val endless = ByteArray(BLOCK_BYTES) { 'x'.code.toByte() }

    private fun respond(request: RawRequest, socket: Socket) {
        socket.receive(request.bodyLength)
        val head = "HTTP/1.1 200 OK\r\nX-Response-Seal: ${PlatformServerStandIn.signature(request.id)}\r\n"
        if (request.id.startsWith("endless")) {
            socket.send(head + "\r\n")
            while (true) socket.getOutputStream().write(endless)
        } else {
            if (request.id.startsWith("long")) Thread.sleep(RUN_MILLISECONDS)
            socket.send(head + "X-Attempt-Id: ${request.id}\r\nContent-Length: 2\r\n\r\nok")
        }
    }

    private class Fleet(private val fixture: PlatformFixture, val process: RouterProcess) {
        private val caller = PlatformCaller(fixture.fleet.callerLoop)

        suspend fun status(id: String, bodyLength: Int = 1): Int? =
            caller.call(process.callerAddress, PlatformRequest("book", id, body = ByteArray(bodyLength)))
                .fold({ it.status }, { null })

        /** The lines of the log about a request that was not served. */
        private suspend fun linesOf(id: String, status: Int?): List<String> {
            if (status == 200) return emptyList()
            delay(LOG_DELAY_MILLISECONDS)
            return process.log.lines().filter { "\"$id\"" in it }
        }

        suspend fun expectSmallRequestsAnswered(label: String) = repeat(SMALL_REQUESTS) {
            val id = "small-$it-$label"
            val status = status(id)
            expectThat(status).describedAs("small request $it, $label: ${linesOf(id, status)}").isEqualTo(200)
            delay(PAUSE_MILLISECONDS)
        }
    }

    private fun withProcess(test: suspend Fleet.() -> Unit) = PlatformFixture().run {
        RawEndpoint(::respond).use { raw ->
            usePlainServer(raw)
            RouterProcess(fleet.storeAddress).use { process ->
                val processFleet = Fleet(this, process)
                eventually("the process serves") { processFleet.status("probe") == 200 }
                processFleet.test()
                expectThat(process.alive).describedAs("the process is alive").isTrue()
                expectThat("OutOfMemoryError" in process.log).describedAs("the process ran out of memory").isFalse()
            }
        }
    }

    @Test
    fun `ten responses without end leave room for the requests of others`() = withProcess {
        coroutineScope {
            val responses: List<Deferred<Int?>> = List(ENDLESS_RESPONSES) { async { status("endless-$it") } }
            expectSmallRequestsAnswered("beside endless responses")
            expectThat(responses.awaitAll()).all { isEqualTo(502) }
            expectThat("BODY_TOO_LONG" in process.log).describedAs("the endpoint is blamed").isTrue()
        }
        expectSmallRequestsAnswered("after endless responses")
    }

    @Test
    fun `long bodies of many callers are served or refused, and leave room for the requests of others`() = withProcess {
        coroutineScope {
            val statuses = List(LONG_BODIES) { async { status("long-$it", LONG_BODY_BYTES) } }
            expectSmallRequestsAnswered("beside long bodies")
            expectThat(statuses.awaitAll()) {
                all { isNotNull() }
                get { filterNotNull().toSet() - setOf(200, 503) }.isEqualTo(emptySet())
                contains(200)
            }
        }
        expectSmallRequestsAnswered("after long bodies")
    }

    private companion object {
        const val BLOCK_BYTES = 65_536
        const val RUN_MILLISECONDS = 500L
        const val ENDLESS_RESPONSES = 10
        const val LONG_BODIES = 300
        const val LONG_BODY_BYTES = 400_000
        const val SMALL_REQUESTS = 20
        const val PAUSE_MILLISECONDS = 25L
        const val LOG_DELAY_MILLISECONDS = 200L
    }
}

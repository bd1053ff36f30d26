package comfreypath.router

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import comfreypath.coordination.model.RequestId
import comfreypath.router.request.CallerDialect
import comfreypath.router.request.CallerRequest
import comfreypath.router.request.FullResponse
import comfreypath.router.request.Refusal
import comfreypath.router.request.RequestPipeline
import comfreypath.router.request.RouteAddress
import comfreypath.router.view.ClusterView
import comfreypath.transport.Address
import comfreypath.transport.HttpServer
import comfreypath.transport.HttpServerOptions
import comfreypath.transport.IncomingRequest
import comfreypath.transport.dispatcher
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.InputStream
import java.net.Socket
import java.time.Instant
import java.time.InstantSource

class CallerDrainTest {
    /** The time stands still, so that the wait for final answers ends only when they are delivered. */
    private val context = TestContext.create(InstantSource.fixed(Instant.EPOCH))
    private val dialect = object : CallerDialect {
        override fun read(request: IncomingRequest, receivedAt: Instant): Result<CallerRequest, Refusal> = Ok(
            CallerRequest(
                id = RequestId("r1"),
                address = RouteAddress("host", "/"),
                method = HttpMethod.GET,
                uri = "/",
                forwardedHeaders = DefaultHttpHeaders(),
                body = ByteArray(0),
                timeBudget = null,
                apiKey = null,
                prompt = null,
                lastEventId = null,
                receivedAt = receivedAt,
            ),
        )

        override fun encode(refusal: Refusal, request: CallerRequest?) =
            FullResponse(refusal.code.status, DefaultHttpHeaders(), ByteArray(LONG_BODY_BYTES))
    }
    private val pipeline = RequestPipeline(context, dialect, ClusterView(context).configuration) { awaitCancellation() }
    private val server = HttpServer(context.loop, HttpServerOptions(), pipeline::handle)
    private val drain = CallerDrain(context, pipeline, server)

    @AfterEach
    fun stop() {
        context.loop.parent().shutdownGracefully()
    }

    private suspend fun <T> onLoop(block: suspend () -> T): T = withContext(context.loop.dispatcher()) { block() }

    /** Reads the head of a response and the body, and pauses after the first byte; returns the length of the body. */
    private fun readSlowly(input: InputStream): Int {
        val head = StringBuilder().append(input.read().toChar())
        Thread.sleep(PAUSE_MILLISECONDS)
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().toChar())
        return input.readAllBytes().size
    }

    @Test
    fun `the final answer of a stop reaches a caller that takes a while to read it`() = runBlocking {
        val address = onLoop { server.start(Address("127.0.0.1", 0)) }
        Socket(address.host, address.port).use { caller ->
            caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: host\r\n\r\n".encodeToByteArray())
            while (onLoop { pipeline.inProgress } == 0) delay(1)
            val received = async(Dispatchers.IO) { readSlowly(caller.getInputStream()) }
            onLoop {
                server.closeAfterResponse = true
                drain.refuseRemaining()
                server.stop()
            }
            expectThat(received.await()).isEqualTo(LONG_BODY_BYTES)
        }
        Unit
    }

    private companion object {
        /** More than the buffers of a connection hold. */
        const val LONG_BODY_BYTES = 33_554_432
        const val PAUSE_MILLISECONDS = 300L
    }
}

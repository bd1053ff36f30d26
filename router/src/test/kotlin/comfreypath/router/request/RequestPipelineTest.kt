package comfreypath.router.request

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import comfreypath.coordination.model.RequestId
import comfreypath.router.TestContext
import comfreypath.router.view.ClusterView
import comfreypath.transport.IncomingRequest
import comfreypath.transport.ResponseWriter
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Instant

class RequestPipelineTest {
    private val context = TestContext.create()
    private val incoming = IncomingRequest(HttpMethod.GET, "/", DefaultHttpHeaders(), ByteArray(0))
    private val dialect = object : CallerDialect {
        override fun read(request: IncomingRequest, receivedAt: Instant): Result<CallerRequest, Refusal> =
            Ok(callerRequest(receivedAt))

        override fun encode(refusal: Refusal, request: CallerRequest?) =
            FullResponse(refusal.code.status, DefaultHttpHeaders(), ByteArray(0))
    }

    private fun callerRequest(receivedAt: Instant) = CallerRequest(
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
    )

    private class RecordingWriter : ResponseWriter {
        var status: Int? = null
        override var started = false

        override suspend fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteArray) {
            start(status, headers, null)
        }

        override suspend fun start(status: HttpResponseStatus, headers: HttpHeaders, length: Long?) {
            started = true
            this.status = status.code()
        }

        override suspend fun writeChunk(bytes: ByteArray) = Unit

        override suspend fun end() = Unit

        override fun abort() = Unit
    }

    /** Returns the status that a request gets that is in progress in [stage] when the router stops. */
    private fun statusAtStop(stage: Stage): Int? = runBlocking {
        val pipeline = RequestPipeline(context, dialect, ClusterView(context).configuration, stage)
        val writer = RecordingWriter()
        val handling = launch(start = CoroutineStart.UNDISPATCHED) { pipeline.handle(incoming, writer) }
        pipeline.refuseRemaining()
        val atStop = writer.status
        handling.cancel()
        handling.join()
        expectThat(pipeline.inProgress).isEqualTo(0)
        atStop
    }

    @Test
    fun `a request that was not offered to an endpoint is refused as not run when the router stops`() {
        expectThat(statusAtStop { awaitCancellation() }).isEqualTo(503)
    }

    @Test
    fun `a request that may have run is not refused as not run when the router stops`() {
        val status = statusAtStop { exchange ->
            exchange.offered = true
            awaitCancellation()
        }
        expectThat(status).isEqualTo(502)
    }

    @Test
    fun `a response that has begun is not followed by a refusal when the router stops`() {
        val status = statusAtStop { exchange ->
            exchange.writer.start(HttpResponseStatus.OK, DefaultHttpHeaders())
            awaitCancellation()
        }
        expectThat(status).isEqualTo(200)
    }

    @Test
    fun `a request that is read after the router stopped is refused`() = runBlocking {
        val pipeline = RequestPipeline(context, dialect, ClusterView(context).configuration) { awaitCancellation() }
        val writer = RecordingWriter()
        expectThat(writer.status).isNull()
        pipeline.refuseRemaining()
        pipeline.handle(incoming, writer)
        expectThat(writer.status).isEqualTo(503)
        Unit
    }
}

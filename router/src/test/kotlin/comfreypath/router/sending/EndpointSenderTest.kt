package comfreypath.router.sending

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.verdict.AttemptOutcome
import comfreypath.router.MonotonicClock
import comfreypath.router.TestContext
import comfreypath.router.request.CallerRequest
import comfreypath.router.request.EndpointDialect
import comfreypath.router.request.EndpointResponseHead
import comfreypath.router.request.EndpointResponseHeads
import comfreypath.router.request.RouteAddress
import comfreypath.router.request.SendPlan
import comfreypath.transport.ConnectionPool
import comfreypath.transport.HttpConnector
import comfreypath.transport.RequestHead
import comfreypath.transport.dispatcher
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketException
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

class EndpointSenderTest {
    private val clock = MonotonicClock()
    private val context = TestContext.create(clock)
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val bytesReceived = AtomicInteger()
    private val timesLeft = mutableListOf<Duration>()
    private val dialect = object : EndpointDialect {
        override fun encode(request: CallerRequest, plan: SendPlan): RequestHead {
            timesLeft += plan.timeLeft
            return RequestHead(HttpMethod.GET, "/", DefaultHttpHeaders())
        }

        override fun read(status: Int, headers: HttpHeaders): EndpointResponseHead = error("the endpoint is silent")
    }
    private val tracker = EndpointTracker(context)
    private val sender = EndpointSender(
        context = context,
        pool = ConnectionPool(HttpConnector(context.loop), clock),
        dialect = dialect,
        tracker = tracker,
    )
    private val endpoint = Endpoint(
        name = EndpointName("e"),
        service = ServiceName("s"),
        host = "127.0.0.1",
        port = listener.localPort,
        dataCentre = DataCentreName("d"),
        version = VersionName("1"),
        slots = 1,
        draining = false,
        coldMilliseconds = 0,
        startedAt = null,
    )

    init {
        thread(isDaemon = true, block = ::countBytes)
    }

    private fun countBytes() = try {
        listener.accept().getInputStream().use { input ->
            while (input.read() >= 0) bytesReceived.incrementAndGet()
        }
    } catch (closed: SocketException) {
        check(listener.isClosed) { "the endpoint failed: $closed" }
    }

    @AfterEach
    fun stop() {
        listener.close()
        context.loop.parent().shutdownGracefully()
    }

    private fun send(timeLeft: Duration, wanted: () -> Boolean = { true }): SendResult = runBlocking {
        withContext(context.loop.dispatcher()) {
            val now = context.now()
            val request = CallerRequest(
                id = RequestId("r"),
                address = RouteAddress("host", "/"),
                method = HttpMethod.GET,
                uri = "/",
                forwardedHeaders = DefaultHttpHeaders(),
                body = ByteArray(0),
                timeBudget = null,
                apiKey = null,
                prompt = null,
                lastEventId = null,
                receivedAt = now,
            )
            val plan = SendPlan(endpoint, timeLeft = LONG, team = null, priority = null, lastEventId = null)
            val activity = ResponseActivity(context::now) { }
            sender.send(request, plan, SendLimits(repeatable = true, now + timeLeft, wanted), activity)
        }
    }

    private fun expectNotSent(result: SendResult) {
        expectThat(result).isA<SendResult.Failed>().get { outcome }.isA<AttemptOutcome.NotSent>()
        Thread.sleep(SETTLE_MILLISECONDS)
        expectThat(bytesReceived.get()).isEqualTo(0)
    }

    @Test
    fun `a request whose deadline has passed is not sent`() = expectNotSent(send(Duration.ofMillis(-1)))

    @Test
    fun `a request whose caller left while the connection was opened is not sent`() =
        expectNotSent(send(LONG) { false })

    @Test
    fun `a request whose endpoint announced that it leaves while the connection was opened is withheld`() {
        val result = send(LONG) {
            val head = EndpointResponseHeads.of(RequestId("other")).copy(leaving = true)
            tracker.announcements.observe(endpoint, head, RequestId("other"))
            true
        }
        expectThat(result).isA<SendResult.Failed>().get { outcome }.isEqualTo(AttemptOutcome.Withheld)
        Thread.sleep(SETTLE_MILLISECONDS)
        expectThat(bytesReceived.get()).isEqualTo(0)
    }

    @Test
    fun `a request whose endpoint asked for a pause while the connection was opened is withheld`() {
        val result = send(LONG) {
            val head = EndpointResponseHeads.of(RequestId("other")).copy(pause = Duration.ofSeconds(1))
            tracker.announcements.observe(endpoint, head, RequestId("other"))
            true
        }
        expectThat(result).isA<SendResult.Failed>().get { outcome }.isEqualTo(AttemptOutcome.Withheld)
        Thread.sleep(SETTLE_MILLISECONDS)
        expectThat(bytesReceived.get()).isEqualTo(0)
    }

    @Test
    fun `a request whose endpoint named a rate while the connection was opened is withheld`() {
        val result = send(LONG) {
            val head = EndpointResponseHeads.of(RequestId("other")).copy(rateLimit = 1.0)
            tracker.limits.observe(endpoint, head, RequestId("other"), sentAt = context.now())
            true
        }
        expectThat(result).isA<SendResult.Failed>().get { outcome }.isEqualTo(AttemptOutcome.Withheld)
        Thread.sleep(SETTLE_MILLISECONDS)
        expectThat(bytesReceived.get()).isEqualTo(0)
    }

    @Test
    fun `an endpoint is given the time that is left when the request is sent`() {
        send(Duration.ofMillis(SETTLE_MILLISECONDS))
        expectThat(timesLeft.single()).isLessThan(Duration.ofMillis(SETTLE_MILLISECONDS + 1))
    }

    private companion object {
        const val BACKLOG = 5
        const val SETTLE_MILLISECONDS = 200L
        val LONG: Duration = Duration.ofSeconds(5)
    }
}

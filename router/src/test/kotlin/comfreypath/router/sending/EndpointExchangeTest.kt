package comfreypath.router.sending

import com.github.michaelbull.result.getOrElse
import comfreypath.router.MonotonicClock
import comfreypath.router.TestContext
import comfreypath.transport.Address
import comfreypath.transport.ConnectionPool
import comfreypath.transport.HttpConnector
import comfreypath.transport.RequestHead
import comfreypath.transport.ResponsePart
import comfreypath.transport.dispatcher
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isNotNull
import java.net.InetAddress
import java.net.ServerSocket
import java.time.Duration
import kotlin.concurrent.thread

class EndpointExchangeTest {
    private val clock = MonotonicClock()
    private val context = TestContext.create(clock)
    private val listener = ServerSocket(0, 1, InetAddress.getLoopbackAddress())

    @AfterEach
    fun stop() {
        listener.close()
        context.loop.parent().shutdownGracefully()
    }

    @Test
    fun `the loss of a connection after a silence is no sign of life`() = runBlocking {
        thread(isDaemon = true) {
            listener.accept().use { endpoint ->
                endpoint.getInputStream().read()
                Thread.sleep(SILENCE_MILLISECONDS)
            }
        }
        val silences = mutableListOf<Duration>()
        withContext(context.loop.dispatcher()) {
            val pool = ConnectionPool(HttpConnector(context.loop), clock)
            val address = Address("127.0.0.1", listener.localPort)
            val connection = pool.acquire(address, Duration.ZERO, LONG).getOrElse { error("$it") }.connection
            connection.send(RequestHead(HttpMethod.GET, "/", DefaultHttpHeaders()), ByteArray(0))
            val activity = ResponseActivity(context::now) { silences += it }
            val part = EndpointExchange(pool, connection, activity).next()
            expectThat(part).isA<ResponsePart.Aborted>()
            expectThat(activity.awaitingSince).isNotNull()
        }
        expectThat(silences).isEmpty()
        Unit
    }

    private companion object {
        const val SILENCE_MILLISECONDS = 50L
        val LONG: Duration = Duration.ofSeconds(5)
    }
}

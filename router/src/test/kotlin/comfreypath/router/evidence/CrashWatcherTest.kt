package comfreypath.router.evidence

import comfreypath.coordination.evidence.Crash
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.TestContext
import comfreypath.router.sending.EndpointTracker
import comfreypath.transport.Address
import comfreypath.transport.HttpConnector
import comfreypath.transport.HttpServer
import comfreypath.transport.HttpServerOptions
import comfreypath.transport.dispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single

private const val CONFIRMATION_MILLISECONDS = 600L

class CrashWatcherTest {
    private val context = TestContext.create()
    private val tracker = EndpointTracker(context)
    private val crashes = ArrayList<Pair<Crash, Set<Long>>>()
    private var draining = false
    private val watcher = CrashWatcher(context, HttpConnector(context.loop), tracker, { draining }) { crash, parts ->
        crashes += crash to parts
    }

    private fun endpoint(address: Address) = Endpoint(
        name = EndpointName("e"),
        service = ServiceName("s"),
        host = address.host,
        port = address.port,
        dataCentre = DataCentreName("south"),
        version = VersionName("v1"),
        slots = 1,
        draining = false,
        coldMilliseconds = 0,
        startedAt = null,
    )

    /** Loses connections to a server that still listens if [listening]; returns the crashes seen. */
    private fun afterLoss(listening: Boolean, meanwhile: () -> Unit = {}) = runBlocking {
        withContext(context.loop.dispatcher()) {
            val server = HttpServer(context.loop, HttpServerOptions()) { _, _ -> }
            val address = server.start(Address("127.0.0.1", 0))
            if (!listening) server.stop()
            watcher.connectionLost(endpoint(address), listOf(1, 2))
            watcher.connectionLost(endpoint(address), listOf(2, 3))
            meanwhile()
            delay(CONFIRMATION_MILLISECONDS)
            if (listening) server.stop()
            crashes.toList()
        }
    }

    @Test
    fun `an endpoint that refuses connections after losing some has crashed`() {
        expectThat(afterLoss(listening = false)).single().get { second }.isEqualTo(setOf(1, 2, 3))
    }

    @Test
    fun `an endpoint that resets some connections and accepts others has not crashed`() {
        expectThat(afterLoss(listening = true)).isEmpty()
    }

    @Test
    fun `a draining endpoint has not crashed`() {
        expectThat(afterLoss(listening = false) { draining = true }).isEmpty()
    }

    @Test
    fun `an endpoint that responds to other requests has not crashed`() {
        val responds = {
            val entry = tracker.entry(EndpointName("e"))
            val later = context.now().plusMillis(1)
            entry.recordSent(later)
            entry.recordSettled(later, responded = true, now = later)
        }
        expectThat(afterLoss(listening = false, responds)).isEmpty()
    }
}

package comfreypath.router.sending

import comfreypath.coordination.limits.KnownRouters
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.model.RequestId
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import comfreypath.coordination.routing.Endpoint
import comfreypath.router.TestContext
import comfreypath.router.request.EndpointResponseHead
import comfreypath.router.request.EndpointResponseHeads
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.time.Instant

class EndpointLimitTrackerTest {
    private var now = Instant.ofEpochSecond(1_000)
    private val context = TestContext.create({ now })
    private var live = emptySet<InstanceName>()
    private val tracker = EndpointLimitTracker(context) {
        KnownRouters(context.options.name, live, registered = emptySet(), settled = true)
    }
    private val request = RequestId("r")
    private val endpoint = Endpoint(
        name = EndpointName("e"),
        service = ServiceName("s"),
        host = "127.0.0.1",
        port = 1,
        dataCentre = DataCentreName("d"),
        version = VersionName("1"),
        slots = 1,
        draining = false,
        coldMilliseconds = 0,
        startedAt = 1,
    )
    private val head = EndpointResponseHeads.of(request)
    private val limited = head.copy(rateLimit = 2.0)

    @AfterEach
    fun stop() {
        context.loop.parent().shutdownGracefully()
    }

    private fun metrics() = context.metrics.prometheusText().decodeToString()

    private fun observe(head: EndpointResponseHead, sentAt: Instant = now) =
        tracker.observe(endpoint, head, request, sentAt)

    private fun advance(milliseconds: Long) {
        now = now.plusMillis(milliseconds)
    }

    @Test
    fun `a request that is sent uses up the rate, and one that is only considered does not`() {
        observe(limited)
        expectThat(tracker.tryAcquire(endpoint)).isFalse()
        advance(502)
        repeat(3) { expectThat(tracker.allows(endpoint)).isTrue() }
        expectThat(tracker.tryAcquire(endpoint)).isTrue()
        expectThat(tracker.allows(endpoint)).isFalse()
        expectThat(tracker.tryAcquire(endpoint)).isFalse()
        expectThat(metrics()).contains("comfreypath_endpoints_limited 1.0")
    }

    @Test
    fun `a rate is not believed that a copy, another endpoint or an unsigned success names`() {
        observe(limited.copy(requestId = null))
        observe(limited.copy(requestId = RequestId("old")))
        observe(limited.copy(wrongEndpoint = true))
        observe(limited.copy(endpoint = EndpointName("other")))
        observe(limited.copy(genuine = false))
        expectThat(tracker.allows(endpoint)).isTrue()
    }

    @Test
    fun `a rate that can't be read is counted, and neither begins nor ends a limit`() {
        observe(head.copy(unreadableRateLimit = "few"))
        expectThat(tracker.allows(endpoint)).isTrue()
        observe(limited)
        advance(1)
        observe(head.copy(unreadableRateLimit = "few"))
        expectThat(tracker.allows(endpoint)).isFalse()
        expectThat(metrics()).contains("comfreypath_endpoint_announcements_total{kind=\"unreadable_rate_limit\"} 2.0")
    }

    @Test
    fun `a response without a rate ends the limit`() {
        observe(limited)
        advance(1)
        observe(head)
        expectThat(tracker.allows(endpoint)).isTrue()
        expectThat(metrics()).contains("comfreypath_endpoints_limited 0.0")
    }

    @Test
    fun `the share shrinks when another router is heard`() {
        observe(limited)
        advance(400)
        live = setOf(InstanceName("other"))
        expectThat(tracker.allows(endpoint)).isFalse()
        advance(150)
        expectThat(tracker.allows(endpoint)).isEqualTo(false)
        advance(1_000)
        expectThat(tracker.allows(endpoint)).isEqualTo(true)
    }
}

package comfreypath.daemon

import comfreypath.coordination.model.InstanceName
import comfreypath.daemon.demo.CallerOutcome
import comfreypath.standins.ServiceFaults
import comfreypath.standins.StoreFaults
import comfreypath.transport.dispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class BookingFailureTest {
    private suspend fun FleetFixture.setServiceFaults(faults: ServiceFaults) = fleet.services.forEach {
        withContext(it.loop.dispatcher()) { it.service.setFaults(faults) }
    }

    private fun CallerOutcome.verdict(): String? = (this as? CallerOutcome.Refused)?.body?.error?.verdict

    private fun CallerOutcome.code(): String? = (this as? CallerOutcome.Refused)?.body?.error?.code

    @Test
    fun `concurrent bookings with the same key at all routers run once`() = FleetFixture().run {
        val outcomes = coroutineScope {
            (0 until 9).map { number -> async { sendBooking("receipt-1", router = number % 3) } }.awaitAll()
        }
        expectThat(outcomes).all { isA<CallerOutcome.Answered>() }
        expectThat(runCount("receipt-1")).isEqualTo(1)
    }

    @Test
    fun `a booking whose connection is aborted after the run is reported as may have run, and does not run again`() =
        FleetFixture().run {
            setServiceFaults(ServiceFaults(cutAfterRun = true))
            expectThat(sendBooking("receipt-2").verdict()).isEqualTo("mayHaveRun")
            setServiceFaults(ServiceFaults())
            expectThat(sendBooking("receipt-2", router = 1).verdict()).isEqualTo("mayHaveRun")
            expectThat(runCount("receipt-2")).isEqualTo(1)
        }

    @Test
    fun `reuse of a key for a different request is refused as not run`() = FleetFixture().run {
        expectThat(sendBooking("receipt-3", idempotencyKey = "same")).isA<CallerOutcome.Answered>()
        val reused = sendBooking("receipt-4", idempotencyKey = "same", router = 1)
        expectThat(reused.code()).isEqualTo("key_reused")
        expectThat(runCount("receipt-4")).isEqualTo(0)
    }

    @Test
    fun `lost store responses do not make a booking run twice`() = FleetFixture().run {
        withContext(fleet.storeLoop.dispatcher()) { fleet.store.setFaults(StoreFaults(loseAnswersPercent = 50)) }
        repeat(10) { number ->
            repeat(3) { sendBooking("receipt-$number", router = number % 3) }
        }
        repeat(10) { expectThat(runCount("receipt-$it")).isLessThanOrEqualTo(1) }
    }

    @Test
    fun `in a store outage chats are answered and bookings are refused as not run`() = FleetFixture().run {
        withContext(fleet.storeLoop.dispatcher()) { fleet.store.setFaults(StoreFaults(outage = true)) }
        expectThat(sendChat(chatRequest("during the outage"))).isA<CallerOutcome.Answered>()
        val refused = sendBooking("receipt-5")
        expectThat(refused.code()).isEqualTo("claims_unavailable")
        expectThat(refused.verdict()).isEqualTo("notRun")
        expectThat(runCount("receipt-5")).isEqualTo(0)
        val running = fleet.routers.first().options
        val options = fleet.routerOptions(InstanceName("router-late"), running.dataCentre)
            .copy(peers = listOf(running.peerAddress))
        val late = fleet.launch(options)
        repeat(80) {
            if (!fleet.isReady(late)) delay(50)
        }
        expectThat(sendChat(chatRequest("through a router that started in the outage"), router = 3))
            .isA<CallerOutcome.Answered>()
    }
}

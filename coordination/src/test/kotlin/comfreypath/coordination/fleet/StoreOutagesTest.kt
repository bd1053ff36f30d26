package comfreypath.coordination.fleet

import comfreypath.coordination.fleet.StoreOutages.ReportingRouter
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Duration
import java.time.Instant

class StoreOutagesTest {
    private val now = Instant.ofEpochSecond(1_000)
    private val self = ReportingRouter(InstanceName("self"), DataCentreName("a"))
    private val peerInA = ReportingRouter(InstanceName("peer-a"), DataCentreName("a"))
    private val peerInB = ReportingRouter(InstanceName("peer-b"), DataCentreName("b"))
    private val none = StoreOutages(self.name)
    private val long = Duration.ofMillis(1_500)

    private fun StoreOutages.last(at: Instant, fleet: FleetSize = FleetSize(routers = 9, dataCentres = 3)) =
        lastEndedAt(at, fleet)

    @Test
    fun `a router whose own calls alone fail, as on a full link, takes no removal for an outage`() {
        val recovered = none.reported(self, long, now).reported(self, Duration.ZERO, now.plusMillis(700))
        expectThat(recovered.last(now.plusMillis(900))).isNull()
    }

    @Test
    fun `calls of this router that fail for a second are an outage if those of another data centre fail too`() {
        val failing = none.reported(self, long, now).reported(peerInB, long, now)
        expectThat(failing.last(now.plusMillis(700))).isNull()
        val recovered = failing.reported(self, Duration.ZERO, now.plusMillis(700))
        expectThat(recovered.last(now.plusMillis(900))).isEqualTo(now.plusMillis(700))
    }

    @Test
    fun `an outage of which nobody was heard while it lasted is learnt from those whose calls had failed`() {
        val told = none.ended(peerInA, now.minusMillis(300), now).ended(peerInB, now.minusMillis(200), now)
        expectThat(told.last(now)).isEqualTo(now.minusMillis(200))
        expectThat(none.ended(peerInB, now.minusMillis(200), now).last(now)).isNull()
    }

    @Test
    fun `reports of routers that are never heard again are forgotten`() {
        val heard = (1..100).fold(none) { state, number ->
            val router = ReportingRouter(InstanceName("router-$number"), DataCentreName("b"))
            state.reported(router, long, now.plusSeconds(number.toLong()))
        }
        val last = ReportingRouter(InstanceName("router-101"), DataCentreName("b"))
        val recent = (90..100).fold(none) { state, number ->
            val router = ReportingRouter(InstanceName("router-$number"), DataCentreName("b"))
            state.reported(router, long, now.plusSeconds(number.toLong()))
        }
        expectThat(heard).isEqualTo(recent)
        expectThat(
            heard.reported(last, long, now.plusSeconds(200))
        ).isEqualTo(none.reported(last, long, now.plusSeconds(200)))
    }

    @Test
    fun `a router tells for ten seconds that an outage of its calls has ended`() {
        val recovered = none.reported(self, long, now).reported(self, Duration.ZERO, now)
        expectThat(recovered.ownEndedAgo(now.plusSeconds(10))).isEqualTo(Duration.ofSeconds(10))
        expectThat(recovered.ownEndedAgo(now.plusMillis(10_001))).isNull()
    }

    @Test
    fun `a watch that was cut off is no outage`() {
        val cutOff = none.reported(self, Duration.ofMillis(300), now)
        expectThat(cutOff.reported(self, Duration.ZERO, now.plusMillis(50)).last(now.plusMillis(60))).isNull()
    }

    @Test
    fun `a router that did not call the store learns of an outage from peers in two data centres`() {
        val failing = none.reported(peerInA, long, now).reported(peerInB, long, now)
        val recovered = failing.reported(peerInB, Duration.ZERO, now.plusMillis(400))
            .reported(peerInA, Duration.ZERO, now.plusMillis(600))
        expectThat(recovered.last(now.plusMillis(800))).isEqualTo(now.plusMillis(600))
    }

    @Test
    fun `a data centre that is cut off from a sound store makes no outage for the others`() {
        val recovered = none.reported(peerInB, long, now).reported(peerInB, Duration.ZERO, now)
        expectThat(recovered.last(now)).isNull()
    }

    @Test
    fun `in a fleet of one data centre the failing calls of one router, as on a full link, are no outage`() {
        val local = FleetSize(routers = 5, dataCentres = 1)
        val ofPeer = none.reported(peerInA, long, now).reported(peerInA, Duration.ZERO, now)
        val ofSelf = none.reported(self, long, now).reported(self, Duration.ZERO, now)
        expectThat(ofPeer.last(now, local)).isNull()
        expectThat(ofSelf.last(now, local)).isNull()
    }

    @Test
    fun `in a fleet of one data centre the reports of two routers are an outage`() {
        val failing = none.reported(peerInA, long, now).reported(self, long, now)
        val recovered = failing.reported(peerInA, Duration.ZERO, now)
        expectThat(recovered.last(now, FleetSize(routers = 5, dataCentres = 1))).isEqualTo(now)
    }

    @Test
    fun `a router that has no peers relies on its own calls`() {
        val recovered = none.reported(self, long, now).reported(self, Duration.ZERO, now)
        expectThat(recovered.last(now, FleetSize(routers = 1, dataCentres = 1))).isEqualTo(now)
    }

    @Test
    fun `an outage that ended long ago is forgotten`() {
        val failing = none.reported(peerInA, long, now).reported(peerInB, long, now)
        val recovered = failing.reported(peerInA, Duration.ZERO, now)
        expectThat(recovered.last(now.plusSeconds(11))).isNull()
    }

    @Test
    fun `a router that the store rejects does not delay removals that its peers learn from the store`() {
        expectThat(none.reported(self, long, now).reported(peerInB, long, now).last(now)).isNull()
    }
}

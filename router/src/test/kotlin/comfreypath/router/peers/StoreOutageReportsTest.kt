package comfreypath.router.peers

import comfreypath.coordination.fleet.FleetSize
import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.fleet.StatusStamp
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.router.TestContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.time.Instant
import java.time.InstantSource

class StoreOutageReportsTest {
    private val now = Instant.ofEpochSecond(1_000)
    private var evaluations = 0
    private val reports = StoreOutageReports(TestContext.create(InstantSource.fixed(now))) {
        evaluations += 1
        FleetSize(routers = 9, dataCentres = 3)
    }

    private fun status(dataCentre: String, failingMilliseconds: Long) = PeerStatus(
        from = InstanceName("peer-$dataCentre"),
        dataCentre = DataCentreName(dataCentre),
        stamp = StatusStamp(1, 1),
        storeFailingMilliseconds = failingMilliseconds,
    )

    @Test
    fun `status messages that tell of no outage cost no look at the reports`() {
        repeat(5) { reports.heard(status("a", failingMilliseconds = 0)) }
        expectThat(evaluations).isEqualTo(0)
    }

    @Test
    fun `an outage that peers in two data centres report is known once they have a response again`() {
        listOf("a", "b").forEach { reports.heard(status(it, failingMilliseconds = 1_500)) }
        expectThat(reports.lastOutageEndedAt()).isNull()
        listOf("a", "b").forEach { reports.heard(status(it, failingMilliseconds = 0)) }
        expectThat(reports.lastOutageEndedAt()).isNotNull().isEqualTo(now)
    }
}

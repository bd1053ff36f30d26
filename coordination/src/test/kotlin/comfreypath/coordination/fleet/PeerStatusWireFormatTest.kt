package comfreypath.coordination.fleet

import comfreypath.coordination.evidence.PartReport
import comfreypath.coordination.evidence.ReportedCrash
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.rollout.RolloutReport
import comfreypath.coordination.rollout.RolloutReports
import comfreypath.coordination.rollout.RouteEvidence
import comfreypath.coordination.rollout.Tally
import comfreypath.coordination.rollout.VersionAspect
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Duration

/** Guards against a renamed or reordered property that routers of another version could no longer read. */
class PeerStatusWireFormatTest {
    private val report = RolloutReport(
        order = 10,
        age = Duration.ofMillis(1_248),
        held = true,
        routes = persistentMapOf(
            -11 to RouteEvidence(
                target = persistentMapOf(VersionAspect.FAILED to Tally(35, 1)),
                baseline = persistentMapOf(VersionAspect.FAILED to Tally(60, 0), VersionAspect.PACE to Tally(36, 2)),
            ),
        ),
    )
    private val status = PeerStatus(
        from = InstanceName("front-1"),
        dataCentre = DataCentreName("south-a"),
        stamp = StatusStamp(incarnation = 35, milliseconds = 36),
        echo = StatusStamp(incarnation = -36, milliseconds = 1_296),
        draining = true,
        ready = true,
        storeResponseAgeMilliseconds = 800,
        configuration = ConfigurationFreshness(version = 18, ageMilliseconds = 1_200),
        digests = mapOf("e" to KindDigest(revision = 37, hash = -35), "v" to KindDigest(revision = 0, hash = 71)),
        inFlight = InFlight(mapOf(10 to 1, -11 to 12)),
        rollouts = RolloutReports(listOf(report)),
    )
    private val text = """{"n":"front-1","z":"south-a","t":"z:10","e":"-10:100","l":true,"r":true,"s":800,""" +
        """"c":{"v":18,"a":1200},"k":{"e":"11:-z","v":"0:1z"},"f":"a,-b:c",""" +
        """"o":"a:yo:h/-b:z,1:1o,0,0,0,0,0,0,0,10,2"}"""

    @Test
    fun `a status message with all fields has this text`() {
        expectThat(Json.encodeToString(status)).isEqualTo(text)
    }

    @Test
    fun `a status message is read from this text`() {
        expectThat(Json.decodeFromString<PeerStatus>(text)).isEqualTo(status)
    }

    @Test
    fun `reports of prompt parts are added as this text`() {
        val reports = listOf(PartReport(36, listOf(ReportedCrash(10, Duration.ofMillis(35)))))
        expectThat(Json.encodeToString(status.copy(partReports = reports)))
            .isEqualTo(text.dropLast(1) + ""","p":["10:a.z::"]}""")
    }

    @Test
    fun `the time for which the store has failed is added as this text`() {
        expectThat(Json.encodeToString(status.copy(storeFailingMilliseconds = 1_500)))
            .isEqualTo(text.dropLast(1) + ""","u":1500}""")
    }

    @Test
    fun `bad versions are added as this text`() {
        expectThat(Json.encodeToString(status.copy(badVersions = listOf(10, -11))))
            .isEqualTo(text.dropLast(1) + ""","b":[10,-11]}""")
    }

    @Test
    fun `fields with their default value are omitted`() {
        val idle = PeerStatus(InstanceName("front-1"), DataCentreName("south-a"), StatusStamp(0, 0))
        expectThat(Json.encodeToString(idle)).isEqualTo("""{"n":"front-1","z":"south-a","t":"0:0"}""")
    }
}

package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.InstanceName
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class PeerStatusTest {
    private val status = PeerStatus(
        from = InstanceName("front-south-a-1"),
        dataCentre = DataCentreName("south-a"),
        stamp = StatusStamp(-1_987_654_321, 1_789_000_000_123),
        echo = StatusStamp(1_987_654_321, 1_789_000_000_456),
        ready = true,
        storeResponseAgeMilliseconds = 800,
        configuration = ConfigurationFreshness(18_000, 1_200),
        digests = listOf("e", "o", "v", "r").associateWith { KindDigest(1_000_000, Int.MIN_VALUE) },
        inFlight = InFlight(
            (1..25).associate { InFlight.key(EndpointName("i-10fd17e05d$it")) to it % 3 + 1 },
        ),
    )

    @Test
    fun `a status message decodes to what was encoded`() {
        expectThat(Json.decodeFromString<PeerStatus>(Json.encodeToString(status))).isEqualTo(status)
        val idle = PeerStatus(status.from, status.dataCentre, StatusStamp(0, 0))
        expectThat(Json.decodeFromString<PeerStatus>(Json.encodeToString(idle))).isEqualTo(idle)
    }

    @Test
    fun `a status message with requests at 25 endpoints stays under 512 bytes`() {
        expectThat(Json.encodeToString(status).length).isLessThan(512)
    }

    @Test
    fun `malformed numbers in a status message are an error`() {
        val text = Json.encodeToString(status)
        listOf("\"f\":\"?\"", "\"f\":\"1:\"", "\"f\":\"1:2:3\"").forEach { malformed ->
            assertThrows<SerializationException> {
                Json.decodeFromString<PeerStatus>(text.replace(Regex("\"f\":\"[^\"]*\""), malformed))
            }
        }
    }
}

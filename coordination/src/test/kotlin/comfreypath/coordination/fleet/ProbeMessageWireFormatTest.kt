package comfreypath.coordination.fleet

import comfreypath.coordination.model.InstanceName
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a renamed property that routers of another version could no longer read. */
class ProbeMessageWireFormatTest {
    private val probe = ProbeMessage(InstanceName("front-1"), StatusStamp(incarnation = 35, milliseconds = 36))
    private val response = probe.copy(state = ProbedState(storeResponseAgeMilliseconds = 800, draining = true))
    private val probeText = """{"n":"front-1","t":"z:10"}"""
    private val responseText = """{"n":"front-1","t":"z:10","a":{"s":800,"l":true}}"""

    @Test
    fun `a probe and a response have these texts`() {
        expectThat(Json.encodeToString(probe)).isEqualTo(probeText)
        expectThat(Json.encodeToString(response)).isEqualTo(responseText)
    }

    @Test
    fun `a probe and a response are read from these texts`() {
        expectThat(Json.decodeFromString<ProbeMessage>(probeText)).isEqualTo(probe)
        expectThat(Json.decodeFromString<ProbeMessage>(responseText)).isEqualTo(response)
    }
}

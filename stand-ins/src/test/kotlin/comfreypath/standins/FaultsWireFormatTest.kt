package comfreypath.standins

import comfreypath.transport.wireJson
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a renamed property that changes what scripts send to `/faults` and read from `/counts`. */
class FaultsWireFormatTest {
    private val withDefaults = Json { encodeDefaults = true }

    private inline fun <reified T> rewritten(text: String): String =
        wireJson.encodeToString(wireJson.decodeFromString<T>(text))

    private inline fun <reified T> defaults(): String = withDefaults.encodeToString(Json.decodeFromString<T>("{}"))

    @Test
    fun `faults are read and written under these names`() {
        val store = """{"latencyMilliseconds":7,"outage":true,"silentKind":"servers","refuse":true,""" +
            """"loseAnswersPercent":8,"silentWatches":true,"forgetHistory":true,""" +
            """"firstEra":1,"stepBackTo":2,"namedEra":3}"""
        val engine = """{"slowFactor":3,"failing":true,"silent":true,"cutAfterPieces":4,"repeatPieces":true,""" +
            """"crossPieces":true,"restart":true}"""
        val service = """{"latencyMilliseconds":7,"refuse":true,"cutAfterRun":true,"silentAfterRun":true}"""
        expectThat(rewritten<StoreFaults>(store)).isEqualTo(store)
        expectThat(rewritten<EngineFaults>(engine)).isEqualTo(engine)
        expectThat(rewritten<ServiceFaults>(service)).isEqualTo(service)
    }

    @Test
    fun `faults that are not given have these values`() {
        expectThat(defaults<StoreFaults>()).isEqualTo(
            """{"latencyMilliseconds":2,"outage":false,"silentKind":null,"refuse":false,""" +
                """"loseAnswersPercent":0,"silentWatches":false,"forgetHistory":false,""" +
                """"firstEra":0,"stepBackTo":0,"namedEra":null}""",
        )
        expectThat(defaults<EngineFaults>()).isEqualTo(
            """{"slowFactor":1,"failing":false,"silent":false,"cutAfterPieces":0,"repeatPieces":false,""" +
                """"crossPieces":false,"restart":false}""",
        )
        expectThat(defaults<ServiceFaults>())
            .isEqualTo("""{"latencyMilliseconds":1,"refuse":false,"cutAfterRun":false,"silentAfterRun":false}""")
    }

    @Test
    fun `counts are written under these names`() {
        val store = """{"reads":1,"writes":2,"conflicts":3,"watches":4}"""
        val engine = """{"started":1,"completed":2,"cancelled":3,"peakInFlight":4,"overloads":5,""" +
            """"promptTokens":6,"cachedTokens":7}"""
        val service = """{"runs":{"r-1":2}}"""
        expectThat(rewritten<StoreCounts>(store)).isEqualTo(store)
        expectThat(rewritten<EngineCounts>(engine)).isEqualTo(engine)
        expectThat(rewritten<ServiceCounts>(service)).isEqualTo(service)
    }

    @Test
    fun `bookings are read and written under these names`() {
        val booking = """{"receipt":"r-1","slot":"9:00"}"""
        val confirmation = """{"receipt":"r-1","number":7}"""
        expectThat(rewritten<Booking>(booking)).isEqualTo(booking)
        expectThat(rewritten<BookingConfirmation>(confirmation)).isEqualTo(confirmation)
    }
}

package comfreypath.daemon

import comfreypath.coordination.model.DataCentreName
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains

/** Guards against names of the store that can't be told apart in the log of a process whose environment is ASCII. */
class LogLettersTest {
    private val names = listOf("\u044e\u0433", "\u0445\u0443")

    @Test
    fun `the log has each name as it is, whatever the environment`() = PlatformFixture().run {
        RouterProcess(fleet.storeAddress).use { process ->
            eventually("the watches") { "\"router_changed\"" in process.log }
            names.forEach { fleet.storeAdmin.setEvacuated(DataCentreName(it), evacuated = true) }
            fun logged() = process.log.lines().filter { "\"evacuation_changed\"" in it }
                .mapNotNull { Json.parseToJsonElement(it).jsonObject["evacuation"]?.jsonPrimitive?.content }
            eventually("the evacuations") { logged().size >= names.size }
            expectThat(logged()).contains(names)
        }
    }
}

package comfreypath.router.store

import comfreypath.coordination.model.DataCentreName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

/** Guards against changed names of object kinds, which are in log lines, metrics, peer paths and status messages. */
class ObjectKindsTest {
    private val kinds = listOf(
        ObjectKinds.CONFIGURATION,
        ObjectKinds.ENDPOINTS,
        ObjectKinds.ROLLOUTS,
        ObjectKinds.EVACUATIONS,
        ObjectKinds.ROUTERS,
        ObjectKinds.CLAIMS,
    )

    @Test
    fun `each kind of object has this label and code`() {
        expectThat(kinds.map { it.label to it.code }).containsExactly(
            "configuration" to "c",
            "endpoints" to "e",
            "rollouts" to "o",
            "evacuations" to "v",
            "routers" to "r",
            "claims" to "k",
        )
        expectThat(kinds.map { it.toString() }).isEqualTo(kinds.map { it.label })
    }

    @Test
    fun `the configuration's object has this name`() {
        expectThat(ObjectKinds.CONFIGURATION_NAME).isEqualTo("main")
    }

    @Test
    fun `a router's record in a log line has this text`() {
        expectThat(RouterRecord("10.0.0.1", 7_000, DataCentreName("south")).toString())
            .isEqualTo("RouterRecord(host=10.0.0.1, port=7000, dataCentre=south)")
    }
}

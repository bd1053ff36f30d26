package comfreypath.router.peers

import comfreypath.transport.wireJson
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a renamed property with which routers of another version could no longer read a peer's objects. */
class KindSnapshotWireFormatTest {
    private val full = KindSnapshot(revision = 12, ageMilliseconds = 350, documents = listOf("{}", "[1]"))
    private val fullText = """{"revision":12,"ageMilliseconds":350,"documents":["{}","[1]"]}"""
    private val delta = KindSnapshot(
        revision = 12,
        ageMilliseconds = 350,
        documents = emptyList(),
        since = 10,
        removed = listOf("e1"),
        hash = -7,
    )
    private val deltaText =
        """{"revision":12,"ageMilliseconds":350,"documents":[],"since":10,"removed":["e1"],"hash":-7}"""

    @Test
    fun `a full snapshot has this text`() {
        expectThat(wireJson.encodeToString(full)).isEqualTo(fullText)
        expectThat(wireJson.decodeFromString<KindSnapshot>(fullText)).isEqualTo(full)
    }

    @Test
    fun `a delta has this text`() {
        expectThat(wireJson.encodeToString(delta)).isEqualTo(deltaText)
        expectThat(wireJson.decodeFromString<KindSnapshot>(deltaText)).isEqualTo(delta)
    }
}

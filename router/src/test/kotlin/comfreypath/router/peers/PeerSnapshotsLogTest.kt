package comfreypath.router.peers

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly

/** Guards against a renamed constant that changes the value `outcome` of log lines about fetched snapshots. */
class PeerSnapshotsLogTest {
    @Test
    fun `the outcome of fetching a snapshot has these names`() {
        // The enum is private; it is the only one that a method of the class returns.
        val outcomes = PeerSnapshots::class.java.declaredMethods.map { it.returnType }.filter { it.isEnum }.distinct()
        expectThat(outcomes.single().enumConstants.map { it.toString() })
            .containsExactly("NOTHING", "SAME", "DIFFERENT")
    }
}

package comfreypath.router.peers

import comfreypath.coordination.fleet.InFlight
import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.fleet.StatusStamp
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class PeerMemoryTest {
    private val memory = PeerMemory(limitBytes = 1_000)

    private fun slot(peer: String, kind: MessageKind = MessageKind.STATUS) = MessageSlot(InstanceName(peer), kind)

    private fun holds(peer: String, bytes: Int, registered: Boolean): Boolean {
        val admitted = memory.admits(slot(peer), bytes, registered)
        if (admitted) memory.hold(slot(peer), bytes, registered)
        return admitted
    }

    @Test
    fun `peers that the store does not list leave half of the memory to those that it lists`() {
        (1..1_000).forEach { holds("ghost-$it", 30, registered = false) }
        expectThat(memory.usedBytes).isEqualTo(480)
        (1..1_000).forEach { holds("router-$it", 30, registered = true) }
        expectThat(memory.usedBytes).isGreaterThan(900)
        expectThat(memory.usedBytes).isLessThanOrEqualTo(1_000)
    }

    @Test
    fun `a long message finds no room, and leaves room for short ones`() {
        expectThat(holds("long", 501, registered = true)).isFalse()
        expectThat(holds("long", 500, registered = true)).isTrue()
        expectThat(holds("short", 100, registered = true)).isTrue()
    }

    @Test
    fun `a message takes the place of the one before`() {
        repeat(100) { expectThat(holds("router", 400, registered = true)).isTrue() }
        expectThat(memory.usedBytes).isEqualTo(400)
        repeat(100) { expectThat(holds("ghost", 200, registered = false)).isTrue() }
        expectThat(holds("ghost", 150, registered = true)).isTrue()
        expectThat(memory.usedBytes).isEqualTo(550)
    }

    @Test
    fun `peers that are forgotten hold nothing`() {
        holds("ghost", 100, registered = false)
        holds("router", 100, registered = true)
        memory.retain(setOf(InstanceName("router")))
        expectThat(memory.usedBytes).isEqualTo(100)
        memory.retain(emptySet())
        expectThat(memory.usedBytes).isEqualTo(0)
        expectThat(holds("other", 500, registered = false)).isTrue()
    }

    @Test
    fun `each entry of a list counts`() {
        fun status(entries: Int) = PeerStatus(
            from = InstanceName("a"),
            dataCentre = DataCentreName("b"),
            stamp = StatusStamp(1, 1),
            inFlight = InFlight((1..entries).associateWith { 1 }),
        )
        expectThat(status(1_000).heldBytes(100) - status(0).heldBytes(100)).isEqualTo(96_000)
    }
}

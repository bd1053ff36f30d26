package comfreypath.transport

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class HeadMemoryTest {
    private val budget = MemoryBudget(limitBytes = 1_000)
    private val memory = HeadMemory(limitBytes = 1_000)

    private fun HeadMemory.Connection.grow() = open(budget.open()).let { charge ->
        var growth = charge.add(10)
        while (growth == HeadGrowth.ADDED) growth = charge.add(10)
        growth
    }

    @Test
    fun `the heads of a connection hold a quarter of the memory`() {
        val connection = memory.open("a")
        val first = connection.open(budget.open())
        repeat(10) { first.add(20) }
        expectThat(connection.grow()).isEqualTo(HeadGrowth.CONNECTION_FULL)
        expectThat(budget.usedBytes).isEqualTo(250)
    }

    @Test
    fun `heads of one address without end leave room for a short head of that address and of others`() {
        repeat(10) { memory.open("a").grow() }
        expectThat(budget.usedBytes < 500).isEqualTo(true)
        expectThat(memory.open("a").open(budget.open()).add(1)).isEqualTo(HeadGrowth.ADDED)
        expectThat(memory.open("b").open(budget.open()).add(200)).isEqualTo(HeadGrowth.ADDED)
    }

    @Test
    fun `a head counts as a part of its request`() {
        val account = budget.open()
        val head = memory.open("a").open(account)
        head.add(30)
        account.add(70)
        expectThat(account.bytes).isEqualTo(100)
        expectThat(head.bytes).isEqualTo(30)
    }

    @Test
    fun `an address is forgotten once it holds nothing`() {
        val exchange = BodyMemory(1_000, 1_000)
        val open = exchange.open(exchange.heads.open("a"))
        open.head?.add(30)
        expectThat(exchange.heads.addresses).isEqualTo(1)
        open.close()
        expectThat(exchange.heads.addresses).isEqualTo(0)
        expectThat(exchange.usedBytes).isEqualTo(0)
        expectThat(open.head?.add(1)).isEqualTo(HeadGrowth.CONNECTION_FULL)
    }
}

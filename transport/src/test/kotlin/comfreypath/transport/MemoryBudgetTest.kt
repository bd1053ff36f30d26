package comfreypath.transport

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class MemoryBudgetTest {
    private val budget = MemoryBudget(limitBytes = 1_000)

    private fun MemoryBudget.Account.grow(): MemoryBudget.Account = apply { while (add(10)) Unit }

    @Test
    fun `an empty account may grow although others hold more than there was room for`() {
        val held = budget.open().apply { hold(1_500) }
        val empty = budget.open()
        expectThat(held.exceedsShare).isEqualTo(true)
        expectThat(empty.exceedsShare).isEqualTo(false)
        expectThat(empty.apply { hold(1) }.exceedsShare).isEqualTo(true)
        held.close()
        expectThat(empty.exceedsShare).isEqualTo(false)
    }

    @Test
    fun `a body without end stops at half of the budget`() {
        expectThat(budget.open().grow().bytes).isEqualTo(500)
    }

    @Test
    fun `bodies without end leave room for a short one`() {
        repeat(8) { budget.open().grow() }
        expectThat(budget.open().add(3)).isTrue()
        expectThat(budget.usedBytes <= 1_000).isTrue()
    }

    /** The end of a body may arrive by itself, after other bodies have taken what was left. */
    @Test
    fun `a complete body is not refused when its end takes no memory`() {
        val account = budget.open().grow()
        repeat(8) { budget.open().grow() }
        expectThat(account.add(0)).isTrue()
    }

    @Test
    fun `a closed account gives all bytes back and takes no more`() {
        val account = budget.open().grow()
        account.remove(100)
        account.close()
        expectThat(budget.usedBytes).isEqualTo(0)
        expectThat(account.add(1)).isFalse()
        account.remove(1)
        expectThat(budget.usedBytes).isEqualTo(0)
    }

    @Test
    fun `an exchange with two holders keeps its bodies until both have closed it`() {
        val memory = BodyMemory(requestBytes = 1_000, responseBytes = 1_000)
        val exchange = memory.open()
        exchange.retain()
        exchange.close()
        expectThat(exchange.request.add(10)).isTrue()
        expectThat(exchange.response.add(20)).isTrue()
        expectThat(memory.usedBytes).isEqualTo(30)
        exchange.close()
        expectThat(memory.usedBytes).isEqualTo(0)
    }

    @Test
    fun `requests leave the memory for responses alone`() {
        val memory = BodyMemory(requestBytes = 1_000, responseBytes = 1_000)
        repeat(20) { memory.open().request.grow() }
        expectThat(memory.open().response.add(400)).isTrue()
    }
}

package comfreypath.transport

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class CarriedIdsTest {
    private val carried = CarriedIds()

    @Test
    fun `every id that was added is contained`() {
        val ids = (1..IDS).map { "id-$it" }
        ids.forEach { carried.add(it) }
        expectThat(ids).all { get { this in carried }.isTrue() }
        expectThat("other" in carried).isFalse()
    }

    @Test
    fun `it is full before an id would be forgotten`() {
        var added = 0
        while (!carried.full) {
            carried.add("id-$added")
            added += 1
        }
        expectThat((0 until added).all { "id-$it" in carried }).isTrue()
    }

    private companion object {
        const val IDS = 100
    }
}

package comfreypath.standins

import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class StoredObjectsTest {
    private val objects = StoredObjects()

    private fun create(name: String) = (objects.create("k", name, JsonPrimitive(1)) as WriteOutcome.Success).entry

    @Test
    fun `a write with an old revision conflicts and changes nothing`() {
        val first = create("a")
        val changed = objects.update("k", "a", first.revision) { it.copy(spec = JsonPrimitive(2)) }
        expectThat(changed).isA<WriteOutcome.Success>()
        val old = objects.update("k", "a", first.revision) { it.copy(spec = JsonPrimitive(3)) }
        expectThat(old).isA<WriteOutcome.Conflict>()
        expectThat(objects.read("k", "a")?.spec).isEqualTo(JsonPrimitive(2))
    }

    @Test
    fun `a write that changes nothing creates no event`() {
        val first = create("a")
        objects.update("k", "a", null) { it }
        expectThat(objects.revision).isEqualTo(first.revision)
    }

    @Test
    fun `a watch sees the changes of its kind since a revision, including removals`() {
        val first = create("a")
        objects.create("other", "x", JsonPrimitive(1))
        create("b")
        objects.remove("k", "a", null)
        val changes = objects.changesSince("k", first.revision)
        expectThat(changes.map { it.entry.name }).containsExactly("b", "a")
        expectThat(changes.last().removed).isTrue()
    }

    @Test
    fun `a watch from before a discarded history cannot resume`() {
        val first = create("a")
        create("b")
        objects.forgetHistory()
        expectThat(first.revision < objects.oldestRevision).isTrue()
    }
}

package comfreypath.router.view

import com.github.michaelbull.result.Ok
import comfreypath.coordination.facts.StoreVersion
import comfreypath.coordination.model.DataCentreName
import comfreypath.router.TestContext
import comfreypath.router.store.ObjectChange
import comfreypath.router.store.StoredObject
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import java.time.Instant
import java.time.InstantSource

/** Guards against a store that has come back from a copy and whose lists were ignored as old. */
class KindViewEraTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private var time = start
    private val context = TestContext.create(clock = InstantSource { time })

    private fun view(holdsLost: Boolean = false) = KindView<DataCentreName>(context, "evacuation", holdsLost)

    private fun version(era: Long, revision: Long) = checkNotNull(StoreVersion.of(era, revision)).number

    private fun stored(name: String, era: Long, revision: Long) =
        StoredObject(name, version(era, revision), Ok(DataCentreName(name)), "$name@$era/$revision")

    private fun KindView<DataCentreName>.list(era: Long, revision: Long, vararg names: String) =
        replace(names.map { stored(it, era, revision) }, version(era, revision), time)

    @Test
    fun `a list of a later era replaces one of an earlier era with a higher revision`() {
        val view = view()
        view.list(1, 50, "a", "b")
        view.list(2, 40, "a")
        expectThat(view.values.keys).containsExactly("a")
        view.list(1, 51, "a", "b")
        expectThat(view.values.keys).containsExactly("a")
    }

    @Test
    fun `changes of another era than that of the list are ignored`() {
        val view = view()
        view.list(2, 40, "a")
        listOf(1L, 3L).forEach { era ->
            view.apply(listOf(ObjectChange(stored("b", era, 60), removed = false)), version(era, 60), time)
        }
        expectThat(view.values.keys).containsExactly("a")
    }

    @Test
    fun `a peer with objects of an earlier era gets all objects, and a different digest`() {
        val view = view()
        view.list(1, 50, "a", "b")
        val before = view.digest
        view.list(2, 50, "a", "b")
        expectThat(view.digest?.hash).isNotEqualTo(before?.hash)
        expectThat(before?.isBehind(checkNotNull(view.digest))).isEqualTo(true)
        expectThat(view.snapshot(since = version(1, 50))?.since).isNull()
    }

    @Test
    fun `orders that a copy lacks stay in force for a while, or until they are written and removed`() {
        val view = view(holdsLost = true)
        view.list(1, 50, "a", "b")
        view.list(2, 40)
        view.list(2, 41)
        expectThat(view.values.keys).containsExactlyInAnyOrder("a", "b")
        view.apply(listOf(ObjectChange(stored("a", 2, 42), removed = false)), version(2, 42), time)
        view.apply(listOf(ObjectChange(stored("a", 2, 43), removed = true)), version(2, 43), time)
        expectThat(view.values.keys).containsExactly("b")
        time = start.plusSeconds(60)
        view.releaseHeld()
        expectThat(view.values.keys).isEmpty()
    }
}

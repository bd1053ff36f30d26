package comfreypath.router.view

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import comfreypath.coordination.model.DataCentreName
import comfreypath.router.TestContext
import comfreypath.router.peers.KindSnapshot
import comfreypath.router.store.ObjectChange
import comfreypath.router.store.RouterRecord
import comfreypath.router.store.StoredObject
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.time.Instant
import kotlin.random.Random

class KindViewTest {
    private val context = TestContext.create()
    private val now = Instant.EPOCH

    private fun view() = KindView<RouterRecord>(context, "router")

    private fun stored(name: String, revision: Long) = StoredObject(
        name = name,
        revision = revision,
        value = Ok(RouterRecord("10.0.0.1", revision.toInt(), DataCentreName("south"))),
        document = "$name@$revision",
    )

    private fun changed(name: String, revision: Long) = ObjectChange(stored(name, revision), removed = false)

    private fun removed(name: String, revision: Long) = ObjectChange(stored(name, revision), removed = true)

    @Test
    fun `a peer at an earlier revision receives only the changes since then`() {
        val view = view()
        view.replace(listOf(stored("a", 1), stored("b", 2), stored("c", 3)), 3, now)
        view.apply(listOf(changed("b", 4), removed("c", 5)), 5, now)
        expectThat(view.snapshot(since = 3)).isNotNull().and {
            get { documents }.containsExactly("b@4")
            get { removed }.containsExactly("c")
            get { since }.isEqualTo(3L)
        }
        expectThat(view.snapshot(since = 5)).isNotNull().get { documents }.isEmpty()
        expectThat(view.snapshot(since = null)).isNotNull().and {
            get { documents.sorted() }.containsExactly("a@1", "b@4")
            get { since }.isNull()
        }
    }

    @Test
    fun `an object that is created again after its removal is sent as changed`() {
        val view = view()
        view.replace(listOf(stored("a", 1)), 1, now)
        view.apply(listOf(removed("a", 2), changed("a", 3)), 3, now)
        expectThat(view.snapshot(since = 1)).isNotNull().and {
            get { documents }.containsExactly("a@3")
            get { removed }.isEmpty()
        }
    }

    @Test
    fun `a peer that is ahead, or whose revision is before the first list, receives a full snapshot`() {
        val view = view()
        view.replace(listOf(stored("a", 10)), 10, now)
        expectThat(view.snapshot(since = 11)).isNotNull().get { since }.isNull()
        expectThat(view.snapshot(since = 9)).isNotNull().get { since }.isNull()
    }

    @Test
    fun `snapshots and deltas always lead to the state of the source, for any sequence of lists and changes`() {
        repeat(RUNS) { seed -> replay(Random(seed)) }
    }

    @Test
    fun `an object that is no longer readable has no value, and the others keep theirs`() {
        val unreadable = StoredObject<RouterRecord>("b", 4, Err("port is out of range"), document = "b@4")
        val watching = view()
        watching.replace(listOf(stored("a", 1), stored("b", 2), stored("c", 3)), 3, now)
        watching.apply(listOf(ObjectChange(unreadable, removed = false), changed("d", 5)), 5, now)
        val listing = view()
        listing.replace(listOf(stored("a", 1), unreadable, stored("c", 3), stored("d", 5)), 5, now)
        listOf(watching, listing).forEach { expectThat(it.values.keys).containsExactlyInAnyOrder("a", "c", "d") }
        expectThat(watching.digest).isEqualTo(listing.digest)
    }

    /** Routers that don't watch the store fetch a change only if the digest differs. */
    @Test
    fun `two objects that change together never keep the digest`() {
        val random = Random(seed = 4)
        repeat(FLEETS) {
            val names = List(FLEET_SIZE) { "i-%08x".format(random.nextInt()) }
            val objects = names.mapIndexed { index, name -> stored(name, revision = index + 10L) }
            val before = view().apply { replace(objects, revision = 40, now) }.digest?.hash
            names.forEachIndexed { index, first ->
                names.drop(index + 1).forEach { second ->
                    val view = view()
                    view.replace(objects, revision = 40, now)
                    view.apply(listOf(changed(first, 41), changed(second, 42)), 42, now)
                    expectThat(view.digest?.hash).describedAs("$first and $second changed").isNotEqualTo(before)
                }
            }
        }
    }

    private fun replay(random: Random) {
        val store = sortedMapOf<String, Long>()
        val source = view()
        val replica = view()
        var revision = 0L
        repeat(STEPS) {
            val changes = List(random.nextInt(4)) {
                revision += 1
                val name = "n${random.nextInt(NAMES)}"
                if (random.nextBoolean() && store.remove(name) != null) {
                    removed(name, revision)
                } else {
                    changed(name, revision).also { store[name] = revision }
                }
            }
            if (source.confirmedAt == null || random.nextInt(4) == 0) {
                source.replace(store.map { (name, at) -> stored(name, at) }, revision, now)
            } else {
                source.apply(changes, revision, now)
            }
            if (random.nextInt(3) == 0) {
                applySnapshot(replica, source.snapshot(replica.digest?.revision))
                expectThat(replica.digest).isEqualTo(source.digest)
                expectThat(replica.values.mapValues { it.value.port.toLong() }).isEqualTo(store.toMap())
            }
        }
    }

    private fun applySnapshot(replica: KindView<RouterRecord>, snapshot: KindSnapshot?) {
        expectThat(snapshot).isNotNull()
        val objects = snapshot?.documents.orEmpty().map {
            stored(it.substringBefore('@'), it.substringAfter('@').toLong())
        }
        val at = snapshot?.revision ?: 0
        if (snapshot?.since == null) {
            replica.replace(objects, at, now)
        } else {
            val removals = snapshot.removed.map { StoredObject<RouterRecord>(it, at, Err("removed"), document = "") }
            val changed = objects.map { ObjectChange(it, removed = false) }
            replica.apply(removals.map { ObjectChange(it, removed = true) } + changed, at, now)
        }
    }

    private companion object {
        const val RUNS = 200
        const val STEPS = 60
        const val NAMES = 6
        const val FLEETS = 20
        const val FLEET_SIZE = 16
    }
}

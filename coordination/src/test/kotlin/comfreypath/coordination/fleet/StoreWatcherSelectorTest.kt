package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

class StoreWatcherSelectorTest {
    private val selector = StoreWatcherSelector()
    private val now = Instant.ofEpochSecond(1_000)
    private val interval = GossipOptions().minInterval
    private val dataCentres = listOf("south", "north", "east").map { DataCentreName(it) }

    private class Router(val name: InstanceName, val dataCentre: DataCentreName)

    private fun routers(count: Int) =
        (1..count).map { Router(InstanceName("router-$it"), dataCentres[it % dataCentres.size]) }

    private fun peer(router: Router, receivedAt: Instant = now, storeResponseAge: Long? = 500) = Peer(
        address = PeerAddress(router.name, "10.0.0.1", 7, router.dataCentre),
        receivedAt = receivedAt,
        status = PeerStatus(
            router.name,
            router.dataCentre,
            StatusStamp(1, 1),
            storeResponseAgeMilliseconds = storeResponseAge,
        ),
    )

    private fun fleet(self: Router, peers: List<Peer>, statusInterval: Duration = interval) =
        FleetView(self.name, self.dataCentre, peers, statusInterval, now)

    private fun watchers(all: List<Router>, asPeer: (Router) -> Peer = { peer(it) }) = all.filter { self ->
        selector.shouldWatch("e", fleet(self, all.filter { it !== self }.map(asPeer)))
    }

    @Test
    fun `one router per data centre watches, whatever the size of the fleet`() {
        listOf(3, 9, 88, 400).forEach { count ->
            val watching = watchers(routers(count))
            expectThat(watching.map { it.dataCentre }.toSet().size).isEqualTo(3)
            expectThat(watching.size).isEqualTo(3)
        }
    }

    @Test
    fun `peers that send status messages rarely, as in a large fleet, do not seem silent between two of them`() {
        val options = GossipOptions()
        val all = routers(LARGE)
        val due = now.minus(options.interval(LARGE))
        val watching = all.filter { self ->
            val peers = all.filter { it !== self }.map { peer(it, receivedAt = due) }
            selector.shouldWatch("e", fleet(self, peers, options.interval(LARGE)))
        }
        expectThat(watching.size).isEqualTo(dataCentres.size)
    }

    @Test
    fun `a single router watches the store itself`() {
        expectThat(watchers(routers(1)).size).isEqualTo(1)
    }

    @Test
    fun `another router takes over from a watcher that is silent, cut off from the store, or draining`() {
        val all = routers(9)
        val watcher = watchers(all).first()
        val faults: List<(Router) -> Peer> = listOf(
            { peer(it, receivedAt = if (it === watcher) now.minusSeconds(2) else now) },
            { peer(it, storeResponseAge = if (it === watcher) 9_000 else 100) },
            { peer(it, storeResponseAge = if (it === watcher) null else 100) },
            { router ->
                peer(
                    router
                ).let { if (router === watcher) it.copy(status = it.status?.copy(draining = true)) else it }
            },
        )
        faults.forEach { fault ->
            val others = watchers(all, fault).filter { it !== watcher && it.dataCentre == watcher.dataCentre }
            expectThat(others.size).isEqualTo(1)
        }
    }

    @Test
    fun `every router watches when no peer is eligible`() {
        val all = routers(9)
        expectThat(watchers(all) { peer(it, storeResponseAge = null) }.size).isEqualTo(9)
    }

    @Test
    fun `different kinds are watched by different routers`() {
        val all = routers(30)
        val kinds = listOf("c", "e", "o", "v", "r")
        val watching = kinds.map { kind ->
            all.filter { self ->
                val peers = all.filter { it !== self }.map { peer(it) }
                selector.shouldWatch(kind, fleet(self, peers))
            }.map { it.name }.toSet()
        }
        expectThat(watching.toSet().size > 1).isTrue()
    }

    private companion object {
        const val LARGE = 95
    }
}

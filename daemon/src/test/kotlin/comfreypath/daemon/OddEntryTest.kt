package comfreypath.daemon

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.daemon.demo.freeAddress
import comfreypath.platform.PlatformDocuments
import comfreypath.router.RouterOptions
import comfreypath.transport.dispatcher
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Guards against an entry of another writer among the servers with which routers stop following the servers. */
class OddEntryTest {
    private val deep = "[".repeat(DEPTH) + "]".repeat(DEPTH)
    private val sound = """{"service":"plain","address":"127.0.0.1:1","zone":"data-centre-1","version":"v1",""" +
        """"slots":16,"state":"ready","cold_left_ms":0,"seq":1,"born":1789000000000}"""
    private val oddEntries = listOf(
        deep,
        """{"a":""".repeat(DEPTH) + "1" + "}".repeat(DEPTH),
        sound.replace("\"seq\":1", "\"seq\":$deep"),
        sound.replace("\"seq\":1", "\"seq\":123456789012345678901234567890"),
        sound.replace("\"slots\":16", "\"slots\":1e400"),
        sound.replace("\"cold_left_ms\":0", "\"cold_left_ms\":1e300"),
        sound.replace("\"born\":1789000000000", "\"born\":-1e300"),
        sound.replace("127.0.0.1:1", "127.0.0.1:0"),
        sound.replace("127.0.0.1:1", "127.0.0.1:99999999999"),
        sound.replace("127.0.0.1:1", "127.0.0.1:-1"),
        sound.replace("\"ready\"", "\"resting\""),
        sound.replace("\"zone\":\"data-centre-1\",", ""),
        "\"\\ud800\"",
        "17",
    )

    /** Routers prefer the servers of their own data centre, and only one of the routers there watches the store. */
    private val oneDataCentre = { options: RouterOptions ->
        options.copy(dataCentre = DataCentreName("data-centre-1"))
    }
    private var requestNumber = 0

    private suspend fun PlatformFixture.status(router: Int): Int? =
        call(PlatformRequest("history", "r${requestNumber++}"), router)?.status

    private suspend fun PlatformFixture.put(name: String, spec: String) =
        withContext(fleet.storeLoop.dispatcher()) { fleet.store.put(PlatformDocuments.ENDPOINT_KIND, name, spec) }

    /** Puts the odd entries before, between and after the others, in the order of names. */
    private suspend fun PlatformFixture.putOddEntries() = oddEntries.forEachIndexed { index, spec ->
        listOf("a", "plain-1", "z").forEach { put("$it-$index", spec) }
    }

    /** The statuses of a few requests to [router], and how many of the requests [server] received. */
    private suspend fun PlatformFixture.probe(router: Int, server: PlatformFleet.RunningServer): Pair<Set<Int?>, Int> {
        val before = server.server.receivedRequests.size
        val statuses = List(REQUESTS) { status(router) }.toSet()
        return statuses to server.server.receivedRequests.size - before
    }

    private suspend fun PlatformFixture.awaitUse(router: Int, server: PlatformFleet.RunningServer) =
        eventually("requests of router $router at ${server.endpoint.name}") { probe(router, server).second > 0 }

    /** Runs [test] while a caller sends requests to the first two routers, all of which must succeed. */
    private suspend fun PlatformFixture.whileCalled(test: suspend () -> Unit) = coroutineScope {
        val failed = mutableListOf<String>()
        var sent = 0
        val caller: Job = launch {
            while (true) {
                val router = sent++ % 2
                val status = call(PlatformRequest("open", "w$sent", key = null), router)?.status
                if (status != 200) failed += "w$sent at router $router: $status"
            }
        }
        test()
        caller.cancelAndJoin()
        expectThat(failed).isEmpty()
        expectThat(sent).isGreaterThan(REQUESTS)
    }

    @Test
    fun `odd entries among the servers hide no server that registers later, by watch or from a peer`() =
        PlatformFixture(routers = 2, customizeRouter = oneDataCentre).run {
            val late = fleet.plainServers.first()
            fleet.storeAdmin.deregister(late.endpoint)
            whileCalled {
                putOddEntries()
                fleet.storeAdmin.register(late.endpoint)
                repeat(2) { awaitUse(it, late) }
                put(late.endpoint.name.text, deep)
                repeat(2) { router ->
                    eventually("no request at the server whose entry became odd") { probe(router, late).second == 0 }
                }
                putOddEntries()
                fleet.storeAdmin.updateRegistration(late.endpoint)
                repeat(2) { awaitUse(it, late) }
            }
        }

    @Test
    fun `a router that starts beside odd entries uses all servers`() = PlatformFixture().run {
        val server = fleet.plainServers.first()
        fleet.storeAdmin.deregister(server.endpoint)
        putOddEntries()
        fleet.storeAdmin.register(server.endpoint)
        val options = fleet.routers.first().options.copy(
            name = InstanceName("started-later"),
            callerAddress = freeAddress(),
            readinessAddress = freeAddress(),
            peerAddress = freeAddress(),
            metricsAddress = freeAddress(),
        )
        fleet.awaitReady(fleet.launch(options))
        awaitUse(router = 1, server)
        expectThat(probe(router = 1, server).first).isEqualTo(setOf(200))
    }

    private companion object {
        const val DEPTH = 50_000
        const val REQUESTS = 8
    }
}

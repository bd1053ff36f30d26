package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import comfreypath.standins.PlatformServerFaults
import comfreypath.transport.dispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

private const val SERVERS = 4

/** The servers in the router's data centre, which it prefers. */
private const val LOCAL_SERVERS = 2
private const val REQUESTS = 240
private const val AT_ONCE = 4
private const val WORK_MILLISECONDS = 20L

/** Servers that share their machines with others and tell how long work takes, with a real router and stand-ins. */
class ToldPaceTest {
    private val fixture = PlatformFixture(engines = 1, plainServers = SERVERS)
    private val fleet = fixture.fleet
    private val metrics: String
        get() = fleet.routers.single().router.routerMetrics.prometheusText().decodeToString()

    /** Lets server 0 tell [first], the others [others] as pace; returns the requests of each server nearby. */
    private suspend fun PlatformFixture.requestsByServer(first: String?, others: String?): List<Int> {
        val usual = PlatformServerFaults(workMilliseconds = WORK_MILLISECONDS)
        setFaults(fleet.plainServers.take(1), usual.copy(pace = first))
        setFaults(fleet.plainServers.drop(1), usual.copy(pace = others))
        val statuses = coroutineScope {
            List(AT_ONCE) { client ->
                async {
                    List(REQUESTS / AT_ONCE) { call(PlatformRequest("history", "pace-$client-$it"))?.status }
                }
            }.awaitAll().flatten()
        }
        expectThat(statuses).all { isEqualTo(200) }
        val local = fleet.routers.single().options.dataCentre
        val servers = fleet.plainServers.filter { it.endpoint.dataCentre == local }
        expectThat(servers.size).isEqualTo(LOCAL_SERVERS)
        return servers.map { running ->
            withContext(running.loop.dispatcher()) { running.server.receivedRequests.size }
        }.also { println("the first tells $first, the others $others: $it requests") }
    }

    @Test
    fun `endpoints that are not slow get most of the requests`() = fixture.run {
        val received = requestsByServer(first = "300", others = "100")
        expectThat(received.first()).isGreaterThan(0).isLessThan(REQUESTS / LOCAL_SERVERS / 2)
    }

    @Test
    fun `endpoints that tell three figures get even shares`() = fixture.run {
        val received = requestsByServer(first = null, others = null)
        received.forEach { expectThat(it).isGreaterThan(REQUESTS / LOCAL_SERVERS / 2) }
        expectThat(metrics).not().contains("unreadable_load")
    }

    @Test
    fun `figures that are not usable change nothing and are counted`() = fixture.run {
        val received = requestsByServer(first = "0", others = null)
        received.forEach { expectThat(it).isGreaterThan(REQUESTS / LOCAL_SERVERS / 2) }
        expectThat(metrics).contains("unreadable_load")
    }
}

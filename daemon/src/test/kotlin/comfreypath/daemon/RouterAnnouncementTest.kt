package comfreypath.daemon

import com.github.michaelbull.result.fold
import comfreypath.daemon.demo.PlatformCaller
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.transport.dispatcher
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

private const val ENGINES = 5
private const val PLAIN_SERVERS = 7
private const val MAX_REQUESTS_PER_PAUSE = 2
private const val MIN_RESPONSES = 100

/**
 * Counts the requests that routers, each in a process of its own, send to endpoints that have announced that they
 * leave, or that have asked for a pause. The system properties `seed`, `seeds` and `routers` enlarge the test.
 */
class RouterAnnouncementTest {
    private val firstSeed = System.getProperty("seed")?.toLong() ?: 1_000L
    private val seeds = System.getProperty("seeds")?.toInt() ?: 1
    private val routerCount = System.getProperty("routers")?.toInt() ?: 3

    private fun fixture() = PlatformFixture(
        routers = 0,
        engines = ENGINES,
        plainServers = PLAIN_SERVERS,
        senderOf = { AnnouncementTrial.routerOf(it.headers.get(PlatformHeaders.REQUEST_ID).orEmpty()) },
    )

    private fun withProcesses(
        fixture: PlatformFixture,
        test: suspend (List<RouterProcess>, List<CuttableLink>) -> Unit,
    ) = fixture.run {
        val links = List(routerCount) { CuttableLink(fleet.storeAddress) }
        val processes = links.mapIndexed { number, link -> RouterProcess(link.address, "router-process-$number") }
        try {
            val caller = PlatformCaller(fleet.callerLoop)
            processes.forEachIndexed { number, process ->
                listOf("history" to null, "draft" to "8,7").forEach { (route, tokens) ->
                    val request = PlatformRequest(route, "${AnnouncementTrial.routerName(number)}-probe", tokens)
                    eventually("process $number serves $route") {
                        caller.call(process.callerAddress, request).fold({ it.status == 200 }, { false })
                    }
                }
            }
            test(processes, links)
        } finally {
            processes.forEach { it.close() }
            links.forEach { it.close() }
        }
    }

    /** Runs a trial and returns a line for each endpoint that got more requests than its announcement allows. */
    private fun violations(seed: Long): List<String> {
        val fixture = fixture()
        val violations = mutableListOf<String>()
        withProcesses(fixture) { processes, links ->
            val trial = AnnouncementTrial(fixture, processes, links, seed)
            val (leaving, pausing) = trial.run()
            val responses = withContext(fixture.fleet.callerLoop.dispatcher()) { trial.responses }
            val label = "seed $seed, $routerCount routers, responses by status $responses"
            println((listOf(label) + leaving + pausing).joinToString("\n"))
            expectThat(responses[200] ?: 0).describedAs("complete responses, $label").isGreaterThan(MIN_RESPONSES)
            expectThat(pausing.filter { it.pauses > 0 }.map { it.store }.toSet())
                .describedAs("store conditions with pauses, $label")
                .isEqualTo(StoreCondition.entries.toSet())
            expectThat(leaving.filter { it.form.inResponses && it.informedRouters > 0 }.map { it.store }.toSet())
                .describedAs("store conditions with endpoints that leave, $label")
                .isEqualTo(StoreCondition.entries.toSet())
            val broken = leaving.filter { it.late > 0 } + pausing.filter { it.most > MAX_REQUESTS_PER_PAUSE }
            violations += broken.map { "seed $seed, $it" }
        }
        return violations
    }

    @Test
    fun `requests stay away from endpoints that leave or pause while the store is up, cut or down`() {
        val violations = List(seeds) { violations(firstSeed + it) }.flatten()
        expectThat(violations.joinToString("\n")).isEqualTo("")
    }
}

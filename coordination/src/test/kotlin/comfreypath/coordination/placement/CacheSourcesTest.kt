package comfreypath.coordination.placement

import comfreypath.coordination.availability.Incarnation
import comfreypath.coordination.availability.incarnation
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.testEndpoint
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import kotlin.random.Random

private const val PREFIX = 77L

class CacheSourcesTest {
    private val endpoints = List(4) { testEndpoint(it) }.sortedByDescending { mix(PREFIX, hashOf(it.name.text)) }
    private val first = endpoints[0]
    private val second = endpoints[1]

    private fun choose(chosen: Endpoint, responsive: List<Endpoint>, settled: Set<Endpoint>, recent: List<Endpoint>) =
        CacheSources.choose(
            prefixId = PREFIX,
            chosen = chosen,
            responsive = responsive.map { CacheHolder(it, hashOf(it.name.text), it in settled) },
            recent = recent.map { it.incarnation },
        )

    @Test
    fun `the endpoint that a prefix is placed at fetches nothing`() {
        expectThat(choose(first, endpoints, endpoints.toSet(), emptyList())).isNull()
    }

    @Test
    fun `an endpoint that takes over from a loaded one fetches from it`() {
        expectThat(choose(second, endpoints, endpoints.toSet(), emptyList())).isEqualTo(first)
    }

    @Test
    fun `an endpoint that does not respond is not named as the source`() {
        val responsive = endpoints - first
        expectThat(choose(second, responsive, responsive.toSet(), emptyList())).isNull()
        expectThat(choose(endpoints[2], responsive, responsive.toSet(), emptyList())).isEqualTo(second)
        expectThat(choose(endpoints[2], responsive, responsive.toSet(), listOf(first))).isEqualTo(second)
    }

    @Test
    fun `an endpoint that came back empty fetches from the one that stood in for it`() {
        val back = first.copy(startedAt = 2)
        val now = endpoints - first + back
        expectThat(choose(back, now, now.toSet() - back, recent = listOf(first))).isEqualTo(second)
    }

    @Test
    fun `a router that knows no endpoint for long goes by the ranking`() {
        expectThat(choose(second, endpoints, emptySet(), emptyList())).isEqualTo(first)
    }

    @Test
    fun `prompts of crashed endpoints are seldom read twice`() {
        val before = CrashReplay(::sourceByNames).readAgain()
        val after = CrashReplay(CacheSources::choose).readAgain()
        println("prompts read although an endpoint had them: $before by names, $after by runs that respond")
        expectThat(after).isLessThan(before / 2)
    }

    /** The rule that went by the names of endpoints, whether or not they respond. */
    private fun sourceByNames(
        prefixId: Long,
        chosen: Endpoint,
        registered: List<CacheHolder>,
        recent: List<Incarnation>,
    ): Endpoint? {
        val home = registered.filter { it.settled }.maxByOrNull { mix(prefixId, it.nameHash) }?.endpoint
        val names = recent.map { it.name }
        return if (chosen.name in names || chosen.name == home?.name) {
            null
        } else {
            names.firstNotNullOfOrNull { name -> registered.firstOrNull { it.endpoint.name == name } }?.endpoint ?: home
        }
    }
}

private typealias SourceRule = (Long, Endpoint, List<CacheHolder>, List<Incarnation>) -> Endpoint?

/** A quarter of the endpoints crash, and come back empty under their names; callers return to their prompts. */
private class CrashReplay(private val rule: SourceRule) {
    private val random = Random(seed = 5)
    private val byRun = rule == CacheSources::choose
    private val caches = HashMap<Incarnation, HashSet<Long>>()
    private val recent = List(ROUTERS) { PromptEndpointCache() }

    /** The number of requests whose prompt was read although a running endpoint had it. */
    fun readAgain(): Int {
        val all = List(ENDPOINTS) { testEndpoint(it) }
        val crashed = all.take(ENDPOINTS / 4).toSet()
        val back = all.map { if (it in crashed) it.copy(startedAt = 2) else it }
        var count = 0
        repeat(REQUESTS) { count += serve(all, all, all.toSet()) }
        repeat(REQUESTS) { count += serve(all, all - crashed, all.toSet() - crashed) }
        val settled = if (byRun) all.toSet() - crashed else back.toSet()
        repeat(REQUESTS) { count += serve(back, back, settled) }
        return count
    }

    private fun serve(registered: List<Endpoint>, running: List<Endpoint>, settled: Set<Endpoint>): Int {
        val prefixId = mix(random.nextLong(PREFIXES), 1L)
        val router = random.nextInt(ROUTERS)
        val ranked = running.sortedByDescending { mix(prefixId, hashOf(it.name.text)) }
        val chosen = if (random.nextDouble() < SPILL_SHARE) ranked[1] else ranked[0]
        val known = if (byRun) running else registered
        val holders = known.map { CacheHolder(it, hashOf(it.name.text), it in settled || it !in running) }
        val source = rule(prefixId, chosen, holders, recent[router].recentEndpoints(prefixId))
        recent[router].record(prefixId, chosen.incarnation)
        val has = { endpoint: Endpoint -> prefixId in caches[endpoint.incarnation].orEmpty() }
        val fetched = source != null && source in running && has(source)
        val readAgain = !has(chosen) && !fetched && running.any(has)
        caches.getOrPut(chosen.incarnation) { HashSet() } += prefixId
        return if (readAgain) 1 else 0
    }

    private companion object {
        const val ROUTERS = 24
        const val ENDPOINTS = 60
        const val PREFIXES = 900L
        const val REQUESTS = 4_000
        const val SPILL_SHARE = 0.1
    }
}

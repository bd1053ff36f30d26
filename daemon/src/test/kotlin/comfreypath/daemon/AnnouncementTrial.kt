package comfreypath.daemon

import com.github.michaelbull.result.getOrElse
import comfreypath.daemon.demo.PlatformCaller
import comfreypath.daemon.demo.PlatformFleet
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import comfreypath.standins.PlatformServerFaults
import comfreypath.standins.StoreFaults
import comfreypath.transport.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.time.Duration
import java.time.Instant
import kotlin.random.Random

private const val CLIENTS_PER_ROUTER = 4
private const val MAX_THINK_MILLISECONDS = 10L
private const val ROUND_MILLISECONDS = 3_000L
private const val BETWEEN_ANNOUNCEMENTS_MILLISECONDS = 600L
private const val ENGINE_REQUEST_PERCENT = 30
private const val PERCENT = 100

/** What the routers reach of the store. */
internal enum class StoreCondition { UP, CUT_FROM_ONE_ROUTER, DOWN }

/** Where, and in which order, an endpoint announces that it leaves. */
internal enum class LeavingForm(val inResponses: Boolean, val inStore: Boolean) {
    IN_RESPONSES(inResponses = true, inStore = false),
    IN_STORE(inResponses = false, inStore = true),
    RESPONSES_FIRST(inResponses = true, inStore = true),
    STORE_FIRST(inResponses = true, inStore = true),
}

/**
 * The requests that reached an endpoint after it had announced that it leaves.
 *
 * @property informedRouters the number of routers that knew it by the end of the round
 * @property arrivals the requests that callers sent to those routers after that
 * @property late those of [arrivals] that were sent too late
 */
internal data class LeavingFigures(
    val store: StoreCondition,
    val endpoint: String,
    val form: LeavingForm,
    val informedRouters: Int,
    val arrivals: Int,
    val late: Int,
) {
    override fun toString() =
        "store $store, $endpoint leaving $form: $late of $arrivals late, $informedRouters routers informed"
}

/** The requests of the router that sent most of them to an endpoint within one pause. */
internal data class PauseFigures(
    val store: StoreCondition,
    val endpoint: String,
    val retryAfter: String,
    val pauses: Int,
    val most: Int,
) {
    override fun toString() = "store $store, $endpoint pausing \"$retryAfter\": up to $most in one of $pauses pauses"
}

/**
 * Sends load to [routers] while endpoints of the [fixture] leave and pause, in one round for each [StoreCondition], and
 * counts the requests that should not have reached them.
 *
 * @param links the links of the routers to the store
 */
internal class AnnouncementTrial(
    private val fixture: PlatformFixture,
    private val routers: List<RouterProcess>,
    private val links: List<CuttableLink>,
    private val seed: Long,
) {
    private class Round(val store: StoreCondition, val start: Instant, val end: Instant)
    private class Leaver(val server: PlatformFleet.RunningServer, val form: LeavingForm) {
        val leftAt: Instant = Instant.now()
        val name get() = server.server.name
    }
    private class Pauser(val server: PlatformFleet.RunningServer, val retryAfter: String)

    private val fleet = fixture.fleet
    private val random = Random(seed)
    private val plainServers = fleet.plainServers.shuffled(random).toMutableList()
    private val engines = fleet.engines.shuffled(random).toMutableList()
    private val rounds = mutableListOf<Round>()
    private val leavers = mutableListOf<Leaver>()
    private val pausers = mutableMapOf<Round, List<Pauser>>()
    private val knownAt = HashMap<RouterEndpoint, Instant>()

    // Confined to the event loop of the callers.
    private val sentAt = HashMap<String, Instant>()
    private val answeredAt = HashMap<String, Instant>()
    private val statuses = HashMap<Int?, Int>()

    /** The number of responses that callers received, by status; null for none. */
    val responses: Map<Int?, Int> get() = statuses.toMap()

    /** Runs all rounds and returns the figures of endpoints that left and of endpoints that paused. */
    suspend fun run(): Pair<List<LeavingFigures>, List<PauseFigures>> = withContext(fleet.callerLoop.dispatcher()) {
        val clients = routers.indices.flatMap { startClients(this, it) }
        StoreCondition.entries.forEach { runRound(it) }
        clients.forEach { it.cancel() }
        clients.joinAll()
        val arrivals = arrivals()
        addPassedOn()
        rounds.flatMap { leavingFigures(it, arrivals) } to rounds.flatMap { pauseFigures(it, arrivals) }
    }

    private fun startClients(scope: CoroutineScope, router: Int): List<Job> = List(CLIENTS_PER_ROUTER) { client ->
        val clientRandom = Random(seed * PERCENT * PERCENT + router * PERCENT + client)
        val caller = PlatformCaller(fleet.callerLoop)
        scope.launch {
            var number = 0
            while (isActive) {
                val attempt = "${routerName(router)}-$seed-$client-${number++}"
                val request = request(attempt, clientRandom)
                sentAt[attempt] = Instant.now()
                val response = caller.call(routers[router].callerAddress, request).getOrElse { null }
                if (response != null) answeredAt[attempt] = Instant.now()
                statuses.merge(response?.status, 1, Int::plus)
                delay(clientRandom.nextLong(MAX_THINK_MILLISECONDS))
            }
        }
    }

    private fun request(attempt: String, clientRandom: Random): PlatformRequest {
        if (clientRandom.nextInt(PERCENT) >= ENGINE_REQUEST_PERCENT) return PlatformRequest("history", attempt)
        val parts = "${clientRandom.nextInt(1, PERCENT)}:512,${Integer.toHexString(attempt.hashCode())}:100"
        return PlatformRequest("draft", attempt, "612,14", headers = mapOf(PlatformHeaders.PROMPT_PARTS to parts))
    }

    private suspend fun runRound(store: StoreCondition) {
        setStore(store)
        val forms = LeavingForm.entries.filter { store != StoreCondition.DOWN || !it.inStore }
        val leaving = listOf(
            Leaver(plainServers.removeLast(), LeavingForm.IN_RESPONSES),
            Leaver(engines.removeLast(), forms.random(random)),
        )
        val pausing = listOf(
            Pauser(plainServers[0], SHORT_PAUSES.random(random)),
            Pauser(plainServers[1], (SHORT_PAUSES + OTHER_VALUES).random(random)),
            Pauser(engines[0], (SHORT_PAUSES + LONG_PAUSE).random(random)),
        )
        val start = Instant.now()
        pausing.forEach { setFaults(it.server, PlatformServerFaults(retryAfter = it.retryAfter)) }
        leaving.forEach { announce(it, first = true, store) }
        delay(BETWEEN_ANNOUNCEMENTS_MILLISECONDS)
        leaving.forEach { announce(it, first = false, store) }
        delay(ROUND_MILLISECONDS - BETWEEN_ANNOUNCEMENTS_MILLISECONDS)
        pausing.forEach { setFaults(it.server, PlatformServerFaults()) }
        leavers += leaving
        val round = Round(store, start, Instant.now())
        rounds += round
        pausers[round] = pausing
    }

    private suspend fun setStore(store: StoreCondition) {
        links.first().cut = store == StoreCondition.CUT_FROM_ONE_ROUTER
        fixture.setStoreFaults(StoreFaults(outage = store == StoreCondition.DOWN))
    }

    private suspend fun setFaults(server: PlatformFleet.RunningServer, faults: PlatformServerFaults) =
        fixture.setFaults(listOf(server), faults)

    private suspend fun announce(leaver: Leaver, first: Boolean, store: StoreCondition) {
        val form = leaver.form
        if (form.inResponses && first == (form != LeavingForm.STORE_FIRST)) {
            setFaults(leaver.server, PlatformServerFaults(leaving = true))
        }
        if (form.inStore && first == (form != LeavingForm.RESPONSES_FIRST)) {
            fleet.storeAdmin.updateRegistration(leaver.server.endpoint.copy(draining = true))
            val inTouch = if (store == StoreCondition.UP) routers.indices else routers.indices.drop(1)
            val knownAt = Instant.now() + STORE_ALLOWANCE
            inTouch.forEach { learn(RouterEndpoint(routerName(it), leaver.name), knownAt) }
        }
    }

    private fun learn(pair: RouterEndpoint, at: Instant) {
        knownAt.merge(pair, at, ::minOf)
    }

    /** Records what each router has passed on: a response of the last endpoint that its request reached. */
    private suspend fun addPassedOn() {
        val received = (fleet.engines + fleet.plainServers).flatMap { running ->
            withContext(running.loop.dispatcher()) { running.server.receivedRequests }
                .map { running.server.name to it }
        }
        received.groupBy { (_, request) -> request.id }.values.forEach { arrivals ->
            val (endpoint, last) = arrivals.maxBy { (_, request) -> request.receivedAt }
            val passedOnAt = answeredAt[last.id]
            if (last.leaving && passedOnAt != null) learn(RouterEndpoint(last.sender, endpoint), passedOnAt)
        }
    }

    private suspend fun arrivals(): List<Arrival> = (fleet.engines + fleet.plainServers).flatMap { running ->
        withContext(running.loop.dispatcher()) { running.server.receivedRequests }.mapNotNull { request ->
            sentAt[request.id]?.let {
                Arrival(RouterEndpoint(request.sender, running.server.name), request.id, it, request.receivedAt)
            }
        }
    }

    private fun leavingFigures(round: Round, arrivals: List<Arrival>): List<LeavingFigures> {
        val inRound = arrivals.filter { it.sentAt >= round.start && it.sentAt < round.end }
        return leavers.filter { it.leftAt < round.end }.map { leaver ->
            val reached = inRound.filter { it.pair.endpoint == leaver.name }
            LeavingFigures(
                store = round.store,
                endpoint = leaver.name,
                form = leaver.form,
                informedRouters = knownAt.count { it.key.endpoint == leaver.name && it.value < round.end },
                arrivals = reached.afterAnnouncement(knownAt).size,
                late = reached.late(knownAt, DRAIN).size,
            )
        }
    }

    private suspend fun pauseFigures(round: Round, arrivals: List<Arrival>): List<PauseFigures> =
        pausers.getValue(round).map { pauser ->
            val server = pauser.server
            val counts = withContext(server.loop.dispatcher()) { server.server.pauses }
                .filter { it.requestedAt >= round.start && it.requestedAt < round.end }
                .map { Pause(RouterEndpoint(it.sender, server.server.name), it.requestedAt, it.until) }
                .map { arrivals.within(it).size }
            PauseFigures(round.store, server.server.name, pauser.retryAfter, counts.size, counts.maxOrNull() ?: 0)
        }

    companion object {
        /** The time within which requests that a router already had may still reach an endpoint that leaves. */
        val DRAIN: Duration = Duration.ofMillis(1_000)

        /** The time within which a router in touch with the store has an announcement that the store accepted. */
        private val STORE_ALLOWANCE: Duration = Duration.ofMillis(1_000)

        // They end within their round, so that each round has pauses of its own.
        private val SHORT_PAUSES = listOf("1.5", "2", "2.25")
        private const val LONG_PAUSE = "30"
        private val OTHER_VALUES = listOf(LONG_PAUSE, "0", "soon", "-1", "inf")

        /** The name of the router with the given number. */
        fun routerName(number: Int) = "r$number"

        /** The router that sent the request with the ID [attempt]. */
        fun routerOf(attempt: String) = attempt.substringBefore('-')
    }
}

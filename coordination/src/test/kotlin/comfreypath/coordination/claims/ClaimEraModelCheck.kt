package comfreypath.coordination.claims

import comfreypath.coordination.facts.StoreVersion
import comfreypath.coordination.model.TeamName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import java.time.Duration
import java.time.Instant

/**
 * Bounded model check: explores the orders of events between two routers and a store that comes back once from a copy,
 * and looks for a key that is granted to both.
 *
 * Requests and answers may arrive at any later time or never; a router may be suspended for any time, since nothing has
 * to happen to it. The limit of the wait for the other router is never reached.
 *
 * @property rules the decisions of the protocol, or others to show that the check can fail
 */
internal class ClaimEraModelCheck(private val rules: Rules = Rules()) {
    /**
     * @property waitsForOthers a key without a claim waits until the other router has written its claims again
     * @property remembersOwn a router writes its claims again that the copy lacks
     * @property objectPerEra each era has its own object
     * @property checksEra an answer of another era than that of the call is not believed
     */
    data class Rules(
        val waitsForOthers: Boolean = true,
        val remembersOwn: Boolean = true,
        val objectPerEra: Boolean = true,
        val checksEra: Boolean = true,
    )

    private val shard = ClaimShard(
        ClaimShardOptions(
            minWriteInterval = Duration.ZERO,
            retryBackoff = Duration.ZERO,
            maxReadAge = Duration.ofDays(1)
        ),
    )
    private val now = Instant.parse("2026-01-01T00:00:00Z")
    private val key = ClaimKey(TeamName("team-1"), "once")
    private val operations = listOf("first", "second").map { ClaimOperation.Claim(key, AttemptId(it), fingerprint = 7) }

    /** The events that lead to a key that is granted twice; null if none was found. */
    var counterexample: List<String>? = null
        private set

    /** The number of distinct states. */
    var visited = 0
        private set

    private data class Stored(val revision: Long, val records: PersistentMap<String, ClaimRecord>)

    private data class Store(val era: Long, val revision: Long, val objects: Map<String, Stored>)

    private data class Call(val router: Int, val number: Int, val era: Long, val write: ClaimShardAction.Write?)

    private data class Answer(val call: Call, val era: Long, val stored: Stored?, val conflict: Boolean)

    private data class Node(
        val shard: ClaimShardState,
        val era: Long = 1,
        val recovery: ClaimRecovery = ClaimRecovery(era = 1),
        val otherRestored: Long = 1,
        val calls: Int = 0,
        val submitted: Boolean = false,
        val granted: Boolean = false,
    )

    private data class State(
        val store: Store,
        val nodes: List<Node>,
        val requests: Set<Call> = emptySet(),
        val answers: Set<Answer> = emptySet(),
    )

    /**
     * Explores up to [depth] events, from a store whose object was changed [lostChanges] times since its copy. If
     * [begun], the first router's write is under way, and the store has just come back.
     */
    fun explore(depth: Int, lostChanges: Long, begun: Boolean = false) {
        val empty = Stored(COPIED, persistentMapOf())
        val lost = Stored(COPIED + lostChanges, persistentMapOf())
        val name = objectName(1)
        val loaded = LoadedShard(version(1, lost.revision), lost.records, now)
        val calm = State(
            Store(era = 1, lost.revision, mapOf(name to lost)),
            List(ROUTERS) { Node(ClaimShardState(loaded.takeIf { _ -> it == 0 }, era = 1)) },
        )
        val copy = Store(era = 2, COPIED, mapOf(name to empty))
        val first = if (begun) submitted(calm, router = 0).copy(store = copy) else calm
        val seen = hashSetOf(first)
        var states = listOf(first to emptyList<String>())
        repeat(depth) {
            states = states.flatMap { (state, trace) ->
                successors(state, copy).filter { seen.add(it.second) }.map { it.second to trace + it.first }
            }
            states.firstOrNull { (state, _) -> state.nodes.all { it.granted } }?.let {
                counterexample = counterexample ?: it.second
            }
            if (counterexample != null) return
        }
        visited = seen.size
    }

    private fun successors(state: State, copy: Store): List<Pair<String, State>> = buildList {
        if (state.store.era == 1L) add("the store comes back" to state.copy(store = copy))
        state.requests.forEach { add("the store handles $it" to handled(state, it)) }
        state.answers.forEach { add("router ${it.call.router} gets $it" to answered(state, it)) }
        state.nodes.forEachIndexed { router, node ->
            if (!node.submitted) add("router $router is asked" to submitted(state, router))
            if (node.era < state.store.era) add("router $router hears of the era" to heard(state, router))
            if (node.shard.call != null && node.era > 1) {
                add(
                    "a call of router $router fails" to timedOut(state, router)
                )
            }
            if (node.era > 1 && !node.shard.restoring && state.nodes[1 - router].otherRestored < node.era) {
                add("router $router has restored" to acknowledged(state, router, node.era))
            }
        }
    }

    private fun submitted(state: State, router: Int): State {
        val node = state.nodes[router]
        return stepped(state, router, node.copy(submitted = true), ClaimShardEvent.Submitted(operations[router]))
    }

    private fun heard(state: State, router: Int): State =
        settled(state, router, state.nodes[router].copy(era = state.store.era))

    private fun acknowledged(state: State, router: Int, era: Long): State =
        settled(state, 1 - router, state.nodes[1 - router].copy(otherRestored = era))

    private fun timedOut(state: State, router: Int): State = stepped(
        state,
        router,
        state.nodes[router].let { it.copy(calls = it.calls + 1) },
        failure(state.nodes[router]),
    )

    private fun failure(node: Node): ClaimShardEvent =
        if (node.shard.call is ShardCall.Reading) {
            ClaimShardEvent.ReadFailed
        } else {
            ClaimShardEvent.WriteNotConfirmed(
                false
            )
        }

    /** Applies what [node], as it is now, knows of the era. */
    private fun settled(state: State, router: Int, node: Node): State {
        val others = !rules.waitsForOthers || node.otherRestored >= node.era
        val told = node.recovery.next(node.era, ownRestored = false, others, now)
        val restored = told.next(
            node.era,
            ownRestored = node.shard.era >= node.era && !node.shard.restoring,
            others,
            now
        )
        val event = ClaimShardEvent.EraKnown(node.era, restored.settled)
        return stepped(state, router, node.copy(recovery = restored), event, settle = false)
    }

    private fun stepped(state: State, router: Int, node: Node, event: ClaimShardEvent, settle: Boolean = true): State {
        val forgetful = if (rules.remembersOwn) node.shard else node.shard.copy(own = OwnClaims())
        val step = shard.step(forgetful, event, now)
        val granted = step.actions.any { it is ClaimShardAction.Complete && it.result == ClaimResult.Granted }
        val calls = step.actions.filter { it !is ClaimShardAction.Complete }
            .map { Call(router, node.calls, node.era, it as? ClaimShardAction.Write) }
        val next = node.copy(shard = step.state, granted = node.granted || granted)
        val nodes = state.nodes.toMutableList().also { it[router] = next }
        val after = state.copy(nodes = nodes, requests = state.requests + calls)
        return if (settle) settled(after, router, next) else after
    }

    private fun objectName(era: Long) = if (rules.objectPerEra) "shard.$era" else "shard"

    private fun version(era: Long, revision: Long) = checkNotNull(StoreVersion.of(era, revision)).number

    private fun handled(state: State, call: Call): State {
        val write = call.write
        return if (write == null) read(state, call) else written(state, call, write)
    }

    private fun read(state: State, call: Call): State {
        val store = state.store
        val names = if (rules.objectPerEra) (call.era downTo 1).map(::objectName) else listOf(objectName(1))
        val name = names.firstOrNull { it in store.objects }
        val found = name?.let { store.objects.getValue(it) }
        val shown = found?.copy(revision = if (name == names.first()) found.revision else 0)
        return replied(state, Answer(call, store.era, shown, conflict = false))
    }

    private fun written(state: State, call: Call, write: ClaimShardAction.Write): State {
        val store = state.store
        val expected = StoreVersion(write.expectedRevision).revision
        val name = objectName(StoreVersion(write.expectedRevision).era)
        if ((store.objects[name]?.revision ?: 0) != expected) {
            return replied(state, Answer(call, store.era, stored = null, conflict = true))
        }
        val written = Stored(store.revision + 1, write.records.toPersistentMap())
        val next = Store(store.era, written.revision, store.objects + (name to written))
        return replied(state.copy(store = next), Answer(call, store.era, written, conflict = false))
    }

    private fun replied(state: State, answer: Answer) =
        state.copy(requests = state.requests - answer.call, answers = state.answers + answer)

    private fun answered(state: State, answer: Answer): State {
        val router = answer.call.router
        val node = state.nodes[router]
        val rest = state.copy(answers = state.answers - answer)
        if (answer.call.number != node.calls) return rest
        val sameEra = answer.era == answer.call.era && answer.era >= node.era
        val event = when {
            rules.checksEra && !sameEra && answer.call.write != null -> failure(node)
            rules.checksEra && answer.era < node.era -> failure(node)
            answer.call.write == null -> ClaimShardEvent.ReadDone(loaded(answer))
            answer.conflict -> ClaimShardEvent.WriteNotConfirmed(conflict = true)
            else -> ClaimShardEvent.WriteDone(version(answer.era, checkNotNull(answer.stored).revision))
        }
        val told = settled(rest, router, node.copy(era = maxOf(node.era, answer.era)))
        return stepped(told, router, told.nodes[router].copy(calls = node.calls + 1), event)
    }

    private fun loaded(answer: Answer) = LoadedShard(
        version(answer.era, answer.stored?.revision ?: 0),
        answer.stored?.records ?: persistentMapOf(),
    )

    private companion object {
        const val ROUTERS = 2
        const val COPIED = 10L
    }
}

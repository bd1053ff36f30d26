package comfreypath.router.view

import com.github.michaelbull.result.Ok
import comfreypath.coordination.model.DataCentreName
import comfreypath.router.TestContext
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectPage
import comfreypath.router.store.RouterRecord
import comfreypath.router.store.ScriptedStore
import comfreypath.router.store.StoreReachability
import comfreypath.router.store.StoredObject
import comfreypath.transport.dispatcher
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.time.Duration

class FleetStartTest {
    private val context = TestContext.create()
    private val record = RouterRecord("127.0.0.1", 1, DataCentreName("south"))
    private val listed = StoredObject("a", revision = 1, value = Ok(record), document = "a@1")

    @AfterEach
    fun stop() {
        context.scope.cancel()
        context.loop.parent().shutdownGracefully()
    }

    private fun onLoop(test: suspend () -> Unit) = runBlocking(context.loop.dispatcher()) {
        withTimeout(TIMEOUT_MILLISECONDS) { test() }
    }

    @Test
    fun `a router that starts lists once, and watches only when it has heard from its peers`() = onLoop {
        var lists = 0
        var heard = false
        val watched = CompletableDeferred<Unit>()
        val store = ScriptedStore(
            onList = {
                lists += 1
                Ok(ObjectPage(listOf(listed), revision = 1, next = null))
            },
            onWatch = {
                watched.complete(Unit)
                awaitCancellation()
            },
        )
        val view = KindView<RouterRecord>(context, "router")
        StoreFollower(
            context,
            store,
            ObjectKinds.ROUTERS,
            view,
            FollowerHooks(
                shouldWatch = { true },
                maxWait = { Duration.ofSeconds(1) },
                fetchFromPeer = { },
                reachability = StoreReachability(context.clock),
                startsFrom = FirstRead.STALE_LIST,
                peersHeard = { heard },
            ),
        ).start()
        delay(SEVERAL_TICKS_MILLISECONDS)
        expectThat(view.values.keys).containsExactly("a")
        expectThat(watched.isCompleted).isFalse()
        heard = true
        watched.await()
        expectThat(lists).isEqualTo(1)
    }

    private companion object {
        const val SEVERAL_TICKS_MILLISECONDS = 500L
        const val TIMEOUT_MILLISECONDS = 10_000L
    }
}

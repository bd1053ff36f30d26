package comfreypath.router.view

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import comfreypath.coordination.fleet.ConfirmationStep
import comfreypath.coordination.fleet.KindDigest
import comfreypath.coordination.model.DataCentreName
import comfreypath.router.TestContext
import comfreypath.router.store.ObjectChange
import comfreypath.router.store.ObjectChanges
import comfreypath.router.store.ObjectKinds
import comfreypath.router.store.ObjectPage
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.RouterRecord
import comfreypath.router.store.ScriptedStore
import comfreypath.router.store.StoreError
import comfreypath.router.store.StoreReachability
import comfreypath.router.store.StoredObject
import comfreypath.transport.dispatcher
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant

/** Guards against a failure while an update is applied that ends the following of a kind for good. */
class FailedPassTest {
    private val context = TestContext.create()
    private val stored = StoredObject(
        name = "a",
        revision = 1,
        value = Ok(RouterRecord("10.0.0.1", 7_000, DataCentreName("south"))),
        document = "a@1",
    )

    @AfterEach
    fun stop() {
        context.scope.cancel()
        context.loop.parent().shutdownGracefully()
    }

    private fun onLoop(test: suspend () -> Unit) = runBlocking(context.loop.dispatcher()) {
        withTimeout(TIMEOUT_MILLISECONDS) { test() }
    }

    /** Fails on the first call of each method, as long as [failing] is true. */
    private class FailingSink(private val target: StoreSink<RouterRecord>) : StoreSink<RouterRecord> {
        val calls = mutableListOf<String>()
        val recovered = CompletableDeferred<Unit>()
        override val digest: KindDigest? get() = target.digest

        override fun replace(objects: List<StoredObject<RouterRecord>>, revision: Long, confirmedAt: Instant) {
            calls += "replace"
            check(calls.size > 1) { "the first list can't be applied" }
            target.replace(objects, revision, confirmedAt)
        }

        override fun apply(changes: List<ObjectChange<RouterRecord>>, revision: Long, confirmedAt: Instant) {
            calls += "apply"
            check(calls.size > 3) { "the first change can't be applied" }
            target.apply(changes, revision, confirmedAt)
            recovered.complete(Unit)
        }
    }

    private fun follow(store: ObjectStore, sink: StoreSink<RouterRecord>) = StoreFollower(
        context,
        store,
        ObjectKinds.ROUTERS,
        sink,
        FollowerHooks(
            shouldWatch = { true },
            maxWait = { Duration.ofSeconds(1) },
            fetchFromPeer = { },
            reachability = StoreReachability(context.clock),
        ),
    ).start()

    @Test
    fun `a list or change that can't be applied is followed by a fresh list`() = onLoop {
        val view = KindView<RouterRecord>(context, "router")
        val sink = FailingSink(view)
        var watches = 0
        val store = ScriptedStore(
            onList = { Ok(ObjectPage(listOf(stored), revision = 1, next = null)) },
            onWatch = {
                watches += 1
                if (watches > 2) awaitCancellation()
                Ok(ObjectChanges(listOf(ObjectChange(stored, removed = false)), revision = 2))
            },
        )
        follow(store, sink)
        sink.recovered.await()
        expectThat(sink.calls).containsExactly("replace", "replace", "apply", "replace", "apply")
        expectThat(view.values.keys).containsExactly("a")
        val failures = context.metrics.taskFailures.labelValues("follow routers").get()
        expectThat(failures).isEqualTo(2.0)
    }

    @Test
    fun `a listener that failed is called again with the next list, although that changes nothing`() = onLoop {
        val view = KindView<RouterRecord>(context, "router")
        var notified = 0
        val recovered = CompletableDeferred<Unit>()
        view.onChange {
            notified += 1
            check(notified > 1) { "the first notification fails" }
            recovered.complete(Unit)
        }
        follow(ScriptedStore(onList = { Ok(ObjectPage(listOf(stored), revision = 1, next = null)) }), view)
        recovered.await()
        expectThat(notified).isEqualTo(2)
    }

    @Test
    fun `a failed read of the configuration keeps no request waiting`() = onLoop {
        var reads = 0
        val store = ScriptedStore(
            onRead = {
                reads += 1
                check(reads > 1) { "the first read fails" }
                if (reads == 2) Err(StoreError.Refused(503)) else Ok(configuration)
            },
        )
        val view = ConfigurationView(context)
        val sink = ConfigurationSink(context, view)
        val renewal = ConfirmationRenewal(
            ageRange = { ProbeAgeRange(Duration.ofSeconds(1), Duration.ofSeconds(2)) },
            next = { _, _ -> ConfirmationStep.Wait },
            askPeer = { },
        )
        val probe = ConfigurationProbe(context, store, view, sink, StoreReachability(context.clock), renewal)
        expectThat(probe.probe()).isFalse()
        expectThat(probe.probe()).isFalse()
        expectThat(probe.probe()).isTrue()
    }

    private val configuration = StoredObject(
        name = ObjectKinds.CONFIGURATION_NAME,
        revision = 1,
        value = Err("version must be an integer"),
        document = "",
    )

    private companion object {
        const val TIMEOUT_MILLISECONDS = 10_000L
    }
}

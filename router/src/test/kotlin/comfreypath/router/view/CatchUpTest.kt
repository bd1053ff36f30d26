package comfreypath.router.view

import comfreypath.coordination.fleet.PeerAddress
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.router.MonotonicClock
import comfreypath.router.TestContext
import comfreypath.transport.dispatcher
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Guards against routers that wait for one source of what they lack, and against all of them reading the store. */
class CatchUpTest {
    private val context = TestContext.create(MonotonicClock())
    private val fetched = mutableListOf<String>()
    private var storeReads = 0
    private var ahead = 0
    private var own = 0

    private fun peer(name: String) = PeerAddress(InstanceName(name), "127.0.0.1", 1, DataCentreName("south"))

    private fun catchUp(fetch: suspend (PeerAddress) -> Unit) = CatchUp(
        context = context,
        isBehind = { ahead > own },
        fetch = { peer ->
            fetched += peer.name.text
            fetch(peer)
        },
        readStore = { storeReads += 1 },
    )

    private fun onLoop(test: suspend () -> Unit) = runBlocking(context.loop.dispatcher()) { test() }

    @AfterEach
    fun stop() {
        context.scope.cancel()
        context.loop.parent().shutdownGracefully()
    }

    @Test
    fun `a silent peer is not waited for`() = onLoop {
        val catchUp = catchUp { if (it.name.text == "silent") awaitCancellation() else own = ahead }
        ahead = 1
        listOf("silent", "sound").forEach { catchUp.offer(peer(it)) }
        delay(350)
        expectThat(own).isEqualTo(1)
        expectThat(storeReads).isEqualTo(0)
    }

    @Test
    fun `a peer that tells of something newer while it is asked is asked again, and the store is not`() = onLoop {
        val catchUp = catchUp {
            val served = ahead
            delay(30)
            own = maxOf(own, served)
        }
        ahead = 1
        catchUp.offer(peer("a"))
        delay(10)
        ahead = 2
        catchUp.offer(peer("a"))
        delay(300)
        expectThat(own).isEqualTo(2)
        expectThat(fetched).containsExactly("a", "a")
        expectThat(storeReads).isEqualTo(0)
    }

    @Test
    fun `the store is read once in two seconds while nobody helps`() = onLoop {
        val catchUp = catchUp { }
        ahead = 1
        repeat(30) {
            catchUp.offer(peer("a"))
            delay(100)
        }
        expectThat(storeReads).isLessThanOrEqualTo(2)
        expectThat(storeReads).isEqualTo(storeReads.coerceAtLeast(1))
    }
}

package comfreypath.daemon

import comfreypath.daemon.demo.PlatformRequest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a process that stays alive without answering, so that it is not started again. */
class FatalErrorTest {
    private fun expectExit(mainClass: Class<*>) = PlatformFixture().run {
        RouterProcess(fleet.storeAddress, mainClass = mainClass.name).use { process ->
            eventually("the process has started") { "\"event\":\"started\"" in process.log }
            eventually("the process ends") { !process.alive }
            expectThat(process.exitStatus).isEqualTo(FATAL_EXIT)
        }
        expectThat(call(PlatformRequest("history", "h1"))?.status).isEqualTo(200)
    }

    @Test
    fun `a router whose event loop ends exits`() = expectExit(EndingLoopRouter::class.java)

    @Test
    fun `a router whose heap is full exits`() = expectExit(FullHeapRouter::class.java)

    @Test
    fun `a router whose heap is filled by its event loop exits`() = expectExit(FullHeapLoopRouter::class.java)

    private companion object {
        /** The status of both the router and the JVM's flag. */
        const val FATAL_EXIT = 3
    }
}

package comfreypath.daemon

import comfreypath.daemon.demo.PlatformFleet
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.startsWith
import java.io.IOException
import java.net.Socket
import java.time.Duration

class EarlyStopTest {
    /** A router serves its first callers while it still starts, and SIGTERM ended the process at once then. */
    @Test
    fun `a caller of a router that is stopped while it starts gets an answer`() = PlatformFixture().run {
        heldStart().use { process ->
            connect(process).use { caller ->
                process.terminate()
                expectThat(STARTED in process.log).isFalse()
                expectThat(statusLine(caller)).startsWith("HTTP/1.1 ")
            }
            eventually("the process stops") { !process.alive }
            val events = process.log.lines().filter { line -> EVENTS.any { it in line } }
            expectThat(events.map { line -> EVENTS.first { it in line } }).isEqualTo(EVENTS)
        }
    }

    /** Lines were lost that a process had queued just before its end. */
    @Test
    fun `the last log lines of a router that stops are written`() = PlatformFixture().run {
        RouterProcess(fleet.storeAddress).use { process ->
            eventually("the process has started") { "\"started\"" in process.log }
            process.terminate()
            eventually("the process stops") { !process.alive }
            expectThat(process.log).contains("\"stopped\"")
        }
    }

    /** Starts processes until one is held within its start, while it listens already. */
    private suspend fun PlatformFixture.heldStart(): RouterProcess {
        repeat(MAX_STARTS) {
            val process = RouterProcess(fleet.storeAddress, mainClass = HeldStart::class.java.name)
            eventually("the start is held or has ended") { HeldStart.HELD in process.log || STARTED in process.log }
            if (STARTED !in process.log) return process
            process.close()
        }
        error("no process was held within its start")
    }

    /** Connects as soon as [process] listens. */
    private fun connect(process: RouterProcess): Socket {
        val deadline = System.nanoTime() + START_TIMEOUT.toNanos()
        var socket: Socket? = null
        while (socket == null) {
            check(System.nanoTime() < deadline) { "the process does not listen: ${process.log}" }
            socket = try {
                Socket(process.callerAddress.host, process.callerAddress.port)
            } catch (_: IOException) {
                Thread.sleep(1)
                null
            }
        }
        return socket
    }

    /** Sends a request and returns the beginning of the response, or why there is none. */
    private fun statusLine(caller: Socket): String {
        caller.soTimeout = RESPONSE_TIMEOUT.toMillis().toInt()
        val headers = listOf(
            "Host: ${PlatformFleet.HOST}",
            "Authorization: Token ${PlatformFleet.KEY}",
            "X-Attempt-Id: early",
            "X-Deadline-Ms: 5000",
        )
        caller.send("GET /history/x HTTP/1.1\r\n" + headers.joinToString("\r\n") + "\r\n\r\n")
        return try {
            caller.receive(STATUS_LINE_BYTES).decodeToString()
        } catch (closed: IOException) {
            "no answer: $closed"
        }
    }

    private companion object {
        const val STATUS_LINE_BYTES = 12
        const val MAX_STARTS = 10
        const val STARTED = "\"event\":\"started\""

        /** What is logged about a stop within the start, in order. */
        val EVENTS = listOf(HeldStart.HELD, STARTED, "\"event\":\"stopping\"", "\"event\":\"stopped\"")
        val START_TIMEOUT: Duration = Duration.ofSeconds(20)
        val RESPONSE_TIMEOUT: Duration = Duration.ofSeconds(10)
    }
}

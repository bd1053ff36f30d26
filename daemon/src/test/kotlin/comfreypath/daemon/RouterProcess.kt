package comfreypath.daemon

import comfreypath.daemon.demo.freeAddress
import comfreypath.transport.Address
import java.io.Closeable
import java.io.File
import java.nio.file.Files
import java.util.concurrent.TimeUnit

private const val EXIT_SECONDS = 10L
private const val BYTES_PER_KIBIBYTE = 1_024L

/**
 * A router in a process of its own, with the memory that `deploy/system.toml` gives it and an ASCII environment.
 *
 * @param store the address of the object store
 * @param settings further settings, by name
 * @param memory flags that lower the memory of the deployment
 * @param mainClass the class that runs the router
 * @param readsOutput false to leave what the process writes unread; [log] is empty then
 */
internal class RouterProcess(
    store: Address,
    name: String = "router-process",
    settings: Map<String, String> = emptyMap(),
    mainClass: String = "comfreypath.daemon.MainKt",
    memory: List<String> = emptyList(),
    readsOutput: Boolean = true,
) : Closeable {
    /** The address for callers. */
    val callerAddress: Address = freeAddress()

    /** The address of the readiness check. */
    val readinessAddress: Address = freeAddress()

    /** The address for other routers, by TCP and UDP. */
    val peerAddress: Address = freeAddress()

    /** The address that serves metrics. */
    val metricsAddress: Address = freeAddress()

    private val output: File = Files.createTempFile("router-process", ".log").toFile()
    private val process: Process = ProcessBuilder(
        listOf(File(System.getProperty("java.home"), "bin/java").path) + memoryFlags + memory +
            listOf("-cp", System.getProperty("java.class.path"), mainClass, "router") +
            mapOf(
                "name" to name,
                "data-centre" to "south-a",
                "interface" to "platform",
                "listen" to callerAddress,
                "readiness-listen" to readinessAddress,
                "peer-listen" to peerAddress,
                "metrics-listen" to metricsAddress,
                "object-store" to store,
            ).plus(settings).flatMap { (setting, value) -> listOf("--$setting", "$value") },
    ).redirectErrorStream(true).apply {
        environment() += mapOf("LANG" to "C", "LC_ALL" to "C")
        if (readsOutput) redirectOutput(output)
    }.start()

    /** True while the process runs. */
    val alive: Boolean get() = process.isAlive

    /** The exit status; null while the process runs. */
    val exitStatus: Int? get() = if (process.isAlive) null else process.exitValue()

    /** The most memory, in bytes, that the process has held so far. */
    val peakMemoryBytes: Long
        get() = File("/proc/${process.pid()}/status").readLines().first { it.startsWith("VmHWM:") }
            .filter { it.isDigit() }.toLong() * BYTES_PER_KIBIBYTE

    /** The number of file descriptors that are open. */
    val openDescriptors: Int get() = File("/proc/${process.pid()}/fd").list().orEmpty().size

    /** What the process has written. */
    val log: String get() = output.readText()

    /** Sends SIGTERM. */
    fun terminate() = process.destroy()

    /** Sends SIGSTOP, so that the process does nothing until it is resumed. */
    fun pause() = signal("STOP")

    /** Sends SIGCONT. */
    fun resume() = signal("CONT")

    private fun signal(name: String) {
        val exit = ProcessBuilder("kill", "-$name", "${process.pid()}").inheritIO().start().waitFor()
        check(exit == 0) { "SIG$name was not sent" }
    }

    override fun close() {
        process.destroyForcibly().waitFor(EXIT_SECONDS, TimeUnit.SECONDS)
        output.delete()
    }

    private companion object {
        /** The flags of the deployment without those of its class archive, which the tests don't have. */
        val memoryFlags = File("../deploy/system.toml").readLines().first { it.startsWith("run = ") }
            .split('"')[1].split(' ')
            .filter { it.startsWith("-X") || it.startsWith("-Dio.netty") }
            .filterNot { "Archive" in it || "-Xlog" in it }
    }
}

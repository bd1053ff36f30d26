package comfreypath.router.telemetry

import comfreypath.coordination.model.InstanceName
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.tinylog.kotlin.Logger
import java.time.Duration
import java.time.InstantSource
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

private const val MAX_QUEUED_LINES = 4_096
private const val MAX_QUEUED_CHARACTERS = 2_097_152

/** Longer values, which callers may choose, are cut. */
private const val MAX_VALUE_CHARACTERS = 1_024
private const val HEX_RADIX = 16
private const val HEX_DIGITS = 4
private const val FIRST_ESCAPED = '\u007f'

/** The time in which lines are collected for one write. It is the most that a crash of the process loses. */
private const val BATCHING_MILLISECONDS = 20L

private const val POLL_MILLISECONDS = 5L

/**
 * Writes one JSON line per event. A dedicated thread writes the queued lines. While the queue is full, by lines or by
 * characters, lines are dropped and counted, so that a slow reader of the output never blocks requests.
 */
class EventLog(private val instance: InstanceName, private val clock: InstantSource) {
    private val lines = ArrayBlockingQueue<String>(MAX_QUEUED_LINES)
    private val droppedLines = AtomicLong()
    private var reportedDrops = 0L

    /** Counts a queued line until it is written. */
    private val unwrittenLines = AtomicInteger()
    private val unwrittenCharacters = AtomicInteger()

    init {
        Thread(::write, "event-log").apply { isDaemon = true }.start()
    }

    /** The number of lines dropped so far because the queue was full. */
    val dropped: Long get() = droppedLines.get()

    /** Queues a line for [event] with [fields]; fields with a null value are omitted. */
    fun record(event: String, vararg fields: Pair<String, Any?>) = record(event, fields.asList())

    /** Queues a line for [event] with [fields]; fields with a null value are omitted. */
    fun record(event: String, fields: List<Pair<String, Any?>>) {
        val line = buildJsonObject {
            put("time", JsonPrimitive(clock.instant().toString()))
            put("instance", JsonPrimitive(instance.text))
            put("event", JsonPrimitive(event))
            fields.forEach { (name, value) ->
                when (value) {
                    null -> Unit
                    is Number -> put(name, JsonPrimitive(value))
                    is Boolean -> put(name, JsonPrimitive(value))
                    else -> put(name, JsonPrimitive(value.toString().shortened()))
                }
            }
        }
        queue(line.toString().inAscii())
    }

    private fun queue(line: String) {
        unwrittenLines.incrementAndGet()
        val fits = unwrittenCharacters.addAndGet(line.length) <= MAX_QUEUED_CHARACTERS
        if (!fits || !lines.offer(line)) {
            written(lines = 1, characters = line.length)
            droppedLines.incrementAndGet()
        }
    }

    private fun written(lines: Int, characters: Int) {
        unwrittenLines.addAndGet(-lines)
        unwrittenCharacters.addAndGet(-characters)
    }

    private fun String.shortened(): String =
        if (length <= MAX_VALUE_CHARACTERS) this else take(MAX_VALUE_CHARACTERS) + "..."

    /** Waits until all queued lines are written, but not longer than [limit]. */
    suspend fun awaitWritten(limit: Duration) {
        withTimeoutOrNull(limit.toMillis()) {
            while (unwrittenLines.get() > 0) delay(POLL_MILLISECONDS)
        }
    }

    private fun write() {
        val batch = ArrayList<String>()
        while (true) {
            batch += lines.take()
            Thread.sleep(BATCHING_MILLISECONDS)
            lines.drainTo(batch)
            Logger.info(batch.joinToString("\n"))
            written(batch.size, batch.sumOf { it.length })
            batch.clear()
            val drops = dropped
            if (drops > reportedDrops && lines.isEmpty()) {
                record("log_lines_dropped", "count" to drops - reportedDrops)
                reportedDrops = drops
            }
        }
    }
}

/** This JSON with escapes for all but ASCII, since the encoding of the output depends on the environment. */
private fun String.inAscii(): String = if (all { it < FIRST_ESCAPED }) {
    this
} else {
    map { if (it < FIRST_ESCAPED) it.toString() else "\\u" + it.code.toString(HEX_RADIX).padStart(HEX_DIGITS, '0') }
        .joinToString("")
}

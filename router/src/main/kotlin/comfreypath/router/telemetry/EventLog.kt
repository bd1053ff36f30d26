package comfreypath.router.telemetry

import comfreypath.coordination.model.InstanceName
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.tinylog.kotlin.Logger
import java.time.InstantSource
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

private const val QUEUED_LINES = 4_096

/**
 * Writes one JSON line for each event. Lines are queued and written by a thread of their own; while the queue is full,
 * further lines are dropped and counted, so that a slow reader of the output never holds requests up.
 */
class EventLog(private val instance: InstanceName, private val clock: InstantSource) {
    private val lines = ArrayBlockingQueue<String>(QUEUED_LINES)
    private val droppedLines = AtomicLong()
    private var reportedDrops = 0L

    init {
        Thread(::write, "event-log").apply { isDaemon = true }.start()
    }

    /** The lines dropped so far because they came faster than they could be written. */
    val dropped: Long get() = droppedLines.get()

    /** Queues a line about [event] with [fields]; a field whose value is null is left out. */
    fun record(event: String, vararg fields: Pair<String, Any?>) {
        val line = buildJsonObject {
            put("time", JsonPrimitive(clock.instant().toString()))
            put("instance", JsonPrimitive(instance.text))
            put("event", JsonPrimitive(event))
            fields.forEach { (name, value) ->
                when (value) {
                    null -> Unit
                    is Number -> put(name, JsonPrimitive(value))
                    is Boolean -> put(name, JsonPrimitive(value))
                    else -> put(name, JsonPrimitive(value.toString()))
                }
            }
        }
        if (!lines.offer(line.toString())) {
            droppedLines.incrementAndGet()
        }
    }

    private fun write() {
        while (true) {
            Logger.info(lines.take())
            val drops = dropped
            if (drops > reportedDrops && lines.isEmpty()) {
                record("log_lines_dropped", "count" to drops - reportedDrops)
                reportedDrops = drops
            }
        }
    }
}

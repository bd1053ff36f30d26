package comfreypath.transport

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** The deepest nesting of arrays and objects that is read from JSON of other processes. */
const val MAX_JSON_DEPTH = 64

/**
 * Parses a JSON text of another process; throws a `SerializationException` if it is malformed.
 *
 * Arrays and objects nested deeper than [MAX_JSON_DEPTH] are read as null, so that the result can be processed
 * recursively. So are arrays, objects and strings that would take more than [maxValueBytes] of memory, by the estimate
 * of [replaceLargeValues].
 */
fun parseJson(text: String, maxValueBytes: Long = Long.MAX_VALUE): JsonElement =
    Json.parseToJsonElement(replaceLargeValues(text, maxValueBytes = maxValueBytes))

/**
 * Replaces all arrays and objects in the JSON [text] that are nested deeper than [maxDepth] with null. Works without
 * recursion, in one pass; a malformed text remains malformed.
 */
fun replaceDeepValues(text: String, maxDepth: Int = MAX_JSON_DEPTH): String = replaceLargeValues(text, maxDepth)

/**
 * Replaces all arrays and objects in the JSON [text] that are nested deeper than [maxDepth], and all arrays, objects
 * and strings that would take more than [maxValueBytes] of memory once parsed, with null. The innermost such values are
 * replaced first. Works without recursion, in one pass; a malformed text remains malformed.
 *
 * The memory of a value is estimated from above, as that of the elements that a [Json] parser creates for it.
 */
fun replaceLargeValues(text: String, maxDepth: Int = MAX_JSON_DEPTH, maxValueBytes: Long = Long.MAX_VALUE): String =
    LargeValueScan(text, maxDepth, maxValueBytes).result()

/** True if arrays and objects in this value are nested more than [maxDepth] levels deep. */
fun JsonElement.isDeeperThan(maxDepth: Int): Boolean = when (this) {
    is JsonObject -> maxDepth == 0 || values.any { it.isDeeperThan(maxDepth - 1) }
    is JsonArray -> maxDepth == 0 || any { it.isDeeperThan(maxDepth - 1) }
    else -> false
}

/** The index of the quote that ends the JSON string starting at [start], or the end of this text. */
internal fun String.endOfJsonString(start: Int): Int {
    var index = start + 1
    while (index < length && this[index] != '"') {
        index += if (this[index] == '\\') 2 else 1
    }
    return minOf(index, length)
}

private class LargeValueScan(private val text: String, private val maxDepth: Int, private val maxValueBytes: Long) {
    private val kept = StringBuilder()
    private var copiedTo = 0
    private var depth = 0

    /** What the open arrays and objects take, up to [maxDepth]; the first entry is for the text around the value. */
    private val bytes = LongArray(maxDepth + 1)

    /** Where the open arrays and objects start, and what was kept of the text before them. */
    private val starts = IntArray(maxDepth + 2)
    private val keptLengths = IntArray(maxDepth + 2)
    private val copiedBefore = IntArray(maxDepth + 2)

    fun result(): String {
        var index = 0
        while (index < text.length) {
            when (text[index]) {
                '"' -> index = passString(index)
                '[', '{' -> open(index)
                ']', '}' -> close(index)
                ',', ':' -> add(SEPARATOR_BYTES)
                else -> add(1)
            }
            index += 1
        }
        return when {
            // A value without an end is malformed, however much of it could be parsed.
            depth > 0 -> text.substring(0, starts[1] + 1)
            copiedTo == 0 -> text
            else -> kept.append(text, copiedTo, text.length).toString()
        }
    }

    private fun add(count: Long) {
        if (depth <= maxDepth) bytes[depth] += count
    }

    private fun passString(start: Int): Int {
        val end = text.endOfJsonString(start)
        val length = 2L * (end - start)
        if (length > maxValueBytes && !isKey(end)) {
            keep(start).append("null")
            copiedTo = minOf(end + 1, text.length)
        } else {
            add(length)
        }
        return end
    }

    /** True if the string that ends at [end] names a field. */
    private fun isKey(end: Int): Boolean {
        var next = end + 1
        while (next < text.length && text[next].isWhitespace()) next += 1
        return next < text.length && text[next] == ':'
    }

    private fun open(index: Int) {
        depth += 1
        if (depth <= maxDepth + 1) {
            starts[depth] = index
            keptLengths[depth] = kept.length
            copiedBefore[depth] = copiedTo
        }
        if (depth <= maxDepth) bytes[depth] = CONTAINER_BYTES
    }

    private fun close(index: Int) {
        if (depth == maxDepth + 1 || depth in 1..maxDepth && bytes[depth] > maxValueBytes) {
            kept.setLength(keptLengths[depth])
            copiedTo = copiedBefore[depth]
            keep(starts[depth]).append("null")
            copiedTo = index + 1
        } else if (depth in 1..maxDepth) {
            bytes[depth - 1] += bytes[depth]
        }
        // Without an opening bracket the text is malformed in any case.
        if (depth > 0) depth -= 1
    }

    private fun keep(end: Int): StringBuilder = kept.append(text, copiedTo, end)

    private companion object {
        /** An object or an array with its first table. */
        const val CONTAINER_BYTES = 256L

        /** An element of an array, or half of a field: the entry, and the objects around the text. */
        const val SEPARATOR_BYTES = 96L
    }
}

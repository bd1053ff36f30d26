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
 * recursively.
 */
fun parseJson(text: String): JsonElement = Json.parseToJsonElement(replaceDeepValues(text))

/**
 * Replaces all arrays and objects in the JSON [text] that are nested deeper than [maxDepth] with null. Works without
 * recursion, in one pass; a malformed text remains malformed.
 */
fun replaceDeepValues(text: String, maxDepth: Int = MAX_JSON_DEPTH): String = DeepValueScan(text, maxDepth).result()

/** True if arrays and objects in this value are nested more than [maxDepth] levels deep. */
fun JsonElement.isDeeperThan(maxDepth: Int): Boolean = when (this) {
    is JsonObject -> maxDepth == 0 || values.any { it.isDeeperThan(maxDepth - 1) }
    is JsonArray -> maxDepth == 0 || any { it.isDeeperThan(maxDepth - 1) }
    else -> false
}

private class DeepValueScan(private val text: String, private val maxDepth: Int) {
    private val kept = StringBuilder()
    private var copiedTo = 0
    private var depth = 0

    fun result(): String {
        var index = 0
        while (index < text.length) {
            when (text[index]) {
                '"' -> index = endOfString(index)
                '[', '{' -> open(index)
                ']', '}' -> close(index)
            }
            index += 1
        }
        if (depth > maxDepth) {
            copiedTo = text.length
        }
        return if (copiedTo == 0) text else kept.append(text, copiedTo, text.length).toString()
    }

    /** The index of the quote that ends the string starting at [start], or the end of the text. */
    private fun endOfString(start: Int): Int {
        var index = start + 1
        while (index < text.length && text[index] != '"') {
            index += if (text[index] == '\\') 2 else 1
        }
        return index
    }

    private fun open(index: Int) {
        depth += 1
        if (depth == maxDepth + 1) {
            kept.append(text, copiedTo, index).append("null")
        }
    }

    private fun close(index: Int) {
        if (depth == maxDepth + 1) {
            copiedTo = index + 1
        }
        depth -= 1
    }
}

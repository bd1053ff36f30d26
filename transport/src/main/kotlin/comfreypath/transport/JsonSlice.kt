package comfreypath.transport

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonPrimitive

/**
 * A value within a JSON text that is not parsed yet, so that large values can be read part by part.
 *
 * Only the text around the parts is checked; a part that is malformed shows when it is parsed.
 */
class JsonSlice private constructor(private val source: String, private val start: Int, private val end: Int) {
    constructor(text: String) : this(text, 0, text.length)

    /** The text of the value. */
    val text: String get() = source.substring(start, end)

    /** Parses the value, see [parseJson]. */
    fun parse(maxValueBytes: Long = Long.MAX_VALUE): JsonElement = parseJson(text, maxValueBytes)

    /** The fields of an object, by name; throws a [SerializationException] if the value is no object. */
    fun fields(): Map<String, JsonSlice> = parts('{', '}').associate { part ->
        val nameStart = part.skipBlanks(part.start)
        if (nameStart == part.end || source[nameStart] != '"') malformed("a name", nameStart)
        val nameEnd = source.endOfJsonString(nameStart)
        val colon = part.skipBlanks(nameEnd + 1)
        if (colon >= part.end || source[colon] != ':') malformed("a colon", colon)
        val name = Json.parseToJsonElement(source.substring(nameStart, nameEnd + 1)).jsonPrimitive.content
        name to JsonSlice(source, colon + 1, part.end)
    }

    /** The elements of an array; throws a [SerializationException] if the value is no array. */
    fun elements(): Sequence<JsonSlice> = parts('[', ']')

    /** True if the value is an array. */
    val isArray: Boolean get() = skipBlanks(start).let { it < end && source[it] == '[' }

    /** What the commas separate between the brackets [open] and [close] around the value. */
    private fun parts(open: Char, close: Char): Sequence<JsonSlice> {
        val first = skipBlanks(start)
        var last = end - 1
        while (last > first && source[last].isWhitespace()) last -= 1
        if (first >= last || source[first] != open || source[last] != close) malformed("$open and $close", first)
        if (skipBlanks(first + 1) == last) return emptySequence()
        return generateSequence(partFrom(first + 1, last)) { part ->
            if (part.end == last) null else partFrom(part.end + 1, last)
        }
    }

    /** The part that starts at [from], up to the comma that ends it or to [last]. */
    private fun partFrom(from: Int, last: Int): JsonSlice {
        var depth = 0
        var index = from
        while (index < last && (depth > 0 || source[index] != ',')) {
            when (source[index]) {
                '"' -> index = source.endOfJsonString(index)
                '[', '{' -> depth += 1
                ']', '}' -> depth -= 1
            }
            if (depth < 0) malformed("a comma", index)
            index += 1
        }
        if (depth > 0 || index > last) malformed("the end of a value", last)
        return JsonSlice(source, from, index)
    }

    private fun skipBlanks(from: Int): Int {
        var index = from
        while (index < end && source[index].isWhitespace()) index += 1
        return index
    }

    private fun malformed(expected: String, position: Int): Nothing =
        throw SerializationException("expected $expected at offset $position")
}

package comfreypath.transport

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isSameInstanceAs
import strikt.assertions.isTrue

class JsonDepthTest {
    private fun nested(depth: Int) = "[".repeat(depth) + "]".repeat(depth)

    @Test
    fun `values nested deeper than the limit become null, and all others are kept`() {
        expectThat(replaceDeepValues("""{"a":[1,{"b":[2]},[3]],"c":{"d":4}}""", maxDepth = 2))
            .isEqualTo("""{"a":[1,null,null],"c":{"d":4}}""")
        expectThat(replaceDeepValues("""[[["x",{"y":[]}],[]],[[]]]""", maxDepth = 1)).isEqualTo("""[null,null]""")
    }

    @Test
    fun `brackets, quotes and backslashes within strings do not count`() {
        val text = """{"[[[\"[[":"]]\\","b":"\\\"{{{","c":["\\"]}"""
        expectThat(replaceDeepValues(text, maxDepth = 2)).isSameInstanceAs(text)
        expectThat(replaceDeepValues("""[["]\"]",["\\"]],"[\\"]""", maxDepth = 1)).isEqualTo("""[null,"[\\"]""")
    }

    @Test
    fun `a very deeply nested value overflows neither a small stack nor hides the values beside it`() {
        listOf(nested(200_000), """{"a":""".repeat(200_000) + "1" + "}".repeat(200_000)).forEach { deep ->
            val parsed = onSmallStack { parseJson("""{"a":1,"deep":$deep,"b":[2]}""").toString() }
            expectThat(parsed).isEqualTo(parseJson(parsed).toString())
            expectThat(parsed.startsWith("""{"a":1,""") && parsed.endsWith(""","b":[2]}""")).isTrue()
        }
    }

    @Test
    fun `a malformed text remains malformed`() {
        listOf(
            "[".repeat(100_000),
            "[".repeat(100) + "\"",
            "{\"a\":${nested(100)}",
            nested(100) + "]",
            "]]" + nested(100)
        )
            .forEach { text -> assertThrows<SerializationException> { onSmallStack { parseJson(text) } } }
    }

    @Test
    fun `the depth of a value is that of its innermost array or object`() {
        expectThat(Json.parseToJsonElement("1").isDeeperThan(0)).isFalse()
        expectThat(Json.parseToJsonElement("""{"a":[1,{}]}""").isDeeperThan(3)).isFalse()
        expectThat(Json.parseToJsonElement("""{"a":[1,{}]}""").isDeeperThan(2)).isTrue()
    }

    /** Runs [block] in a thread with the stack size that routers run with, and rethrows its failure. */
    private fun <T> onSmallStack(block: () -> T): T {
        var result: Result<T>? = null
        Thread(null, { result = runCatching(block) }, "small-stack", STACK_BYTES).apply {
            start()
            join()
        }
        return checkNotNull(result).getOrThrow()
    }

    private companion object {
        const val STACK_BYTES = 256L * 1024
    }
}

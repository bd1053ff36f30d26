package comfreypath.transport

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

/** Guards against two texts with the same header value, and against one that no header can hold. */
class HeaderTextTest {
    private val alphabet = listOf(
        "a", "%", "0", "A", "'", "UTF-8''", " ", "\t", "\n", "\r", "\u0000", "\u007f", "\u0085", "\u00a0", "\u00c3",
        "\u00a4", "\u00e4", "\u0426", "\u5317", "\ud83d", "\ude80", "\uffff",
    )
    private val texts = listOf("") + alphabet + alphabet.flatMap { first -> alphabet.map { first + it } } +
        alphabet.flatMap { first -> alphabet.flatMap { second -> alphabet.map { first + second + it } } }

    @Test
    fun `different texts have different values`() {
        val distinct = texts.distinct()
        expectThat(distinct.map { HeaderText.encode(it) }.distinct()).hasSize(distinct.size)
    }

    @Test
    fun `any text has a value that a header holds as it is, one byte for each character`() {
        expectThat(texts.map { HeaderText.encode(it) }).all {
            get { all { it.code in 0..MAX_BYTE } && this == trim { it == ' ' || it == '\t' } }.isEqualTo(true)
            get { DefaultHttpHeaders().set("X-Name", this).get("X-Name") }.isEqualTo(subject)
        }
    }

    @Test
    fun `a text of ASCII letters, and one of other letters, is in UTF-8 as it is`() {
        expectThat(HeaderText.encode("team-1, south")).isEqualTo("team-1, south")
        expectThat(HeaderText.encode("k\u00e4rki")).isEqualTo("k\u00c3\u00a4rki")
    }

    @Test
    fun `values are read as UTF-8, or else as ISO 8859-1`() {
        expectThat(HeaderText.decode("k\u00c3\u00a4rki")).isEqualTo("k\u00e4rki")
        expectThat(HeaderText.decode("k\u00e4rki")).isEqualTo("k\u00e4rki")
        expectThat(HeaderText.decode("team-1")).isEqualTo("team-1")
    }

    private companion object {
        const val MAX_BYTE = 255
    }
}

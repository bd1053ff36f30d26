package comfreypath.transport

import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException

private const val EXTENDED_PREFIX = "UTF-8''"
private const val HEX_DIGITS = "0123456789ABCDEF"
private const val DIGIT_BITS = 4
private const val LOW_DIGIT = 0xF
private const val TWO_BYTES = 0x80
private const val THREE_BYTES = 0x800
private const val CONTINUATION_BITS = 6
private const val CONTINUATION_MASK = 0x3F
private const val LEAD_OF_TWO = 0xC0
private const val LEAD_OF_THREE = 0xE0
private const val DELETE = '\u007f'

/**
 * Texts in header values. Headers hold one character for each byte, as the decoder makes them.
 *
 * Texts are in UTF-8. One that no value can hold unchanged (it is empty, has a control character or an unpaired
 * surrogate, or begins or ends with white space) has the extended form of RFC 8187 instead: `UTF-8''` and the bytes,
 * percent-encoded. So has one that begins like this form, so that different texts have different values.
 */
object HeaderText {
    /** Returns the header value that holds [text]. */
    fun encode(text: String): String = if (fitsUnchanged(text)) {
        text.encodeToByteArray().toString(Charsets.ISO_8859_1)
    } else {
        EXTENDED_PREFIX + text.flatMap(::bytesOf).joinToString("", transform = ::percentEncoded)
    }

    /** Returns the text in the header [value]: its bytes in UTF-8, or in ISO 8859-1 if they are no UTF-8. */
    fun decode(value: String): String = if (value.all { it < DELETE }) {
        value
    } else {
        try {
            val bytes = ByteBuffer.wrap(value.toByteArray(Charsets.ISO_8859_1))
            Charsets.UTF_8.newDecoder().decode(bytes).toString()
        } catch (_: CharacterCodingException) {
            value // a client that writes ISO 8859-1
        }
    }

    private fun fitsUnchanged(text: String): Boolean = text.isNotEmpty() && !text.startsWith(EXTENDED_PREFIX) &&
        text == text.trim() && text.none { it.isISOControl() } &&
        (text.all { it < DELETE } || Charsets.UTF_8.newEncoder().canEncode(text))

    /** The bytes of one character, also of a surrogate by itself. */
    private fun bytesOf(character: Char): List<Int> {
        val code = character.code
        val last = TWO_BYTES or (code and CONTINUATION_MASK)
        return when {
            code < TWO_BYTES -> listOf(code)
            code < THREE_BYTES -> listOf(LEAD_OF_TWO or (code shr CONTINUATION_BITS), last)
            else -> {
                val middle = TWO_BYTES or (code shr CONTINUATION_BITS and CONTINUATION_MASK)
                listOf(LEAD_OF_THREE or (code shr 2 * CONTINUATION_BITS), middle, last)
            }
        }
    }

    private fun percentEncoded(byte: Int): String = byte.toChar().let { character ->
        if (byte < TWO_BYTES && character.isLetterOrDigit()) {
            character.toString()
        } else {
            "%" + HEX_DIGITS[byte shr DIGIT_BITS] + HEX_DIGITS[byte and LOW_DIGIT]
        }
    }
}

package comfreypath.standins

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Duration
import java.time.Instant

class SenderPausesTest {
    private val start = Instant.EPOCH
    private val pauses = SenderPauses()

    private fun refuse(retryAfter: String?, milliseconds: Long, sender: String = "a") =
        pauses.refuse(sender, retryAfter, start + Duration.ofMillis(milliseconds))

    @Test
    fun `no request is refused without a value`() {
        expectThat(refuse(null, milliseconds = 0)).isNull()
        expectThat(pauses.all).isEmpty()
    }

    @Test
    fun `requests within a pause are refused with the time left and counted, and do not extend it`() {
        expectThat(refuse("1.5", milliseconds = 0)).isEqualTo("1.5")
        expectThat(refuse("1.5", milliseconds = 500)).isEqualTo("1.0")
        expectThat(refuse(null, milliseconds = 1_499)).isEqualTo("0.001")
        expectThat(refuse(null, milliseconds = 1_500)).isNull()
        expectThat(pauses.all)
            .containsExactly(SenderPause("a", start, start + Duration.ofMillis(1_500), refused = 2))
    }

    @Test
    fun `a request after a pause begins the next one`() {
        refuse("2", milliseconds = 0)
        expectThat(refuse("30", milliseconds = 2_000)).isEqualTo("30")
        expectThat(pauses.all.map { it.until })
            .containsExactly(start + Duration.ofSeconds(2), start + Duration.ofSeconds(32))
    }

    @Test
    fun `a pause holds for one sender only`() {
        refuse("2", milliseconds = 0)
        expectThat(refuse(null, milliseconds = 1, sender = "b")).isNull()
        expectThat(refuse(null, milliseconds = 1)).isEqualTo("1.999")
    }

    @Test
    fun `values that are no number of seconds refuse a request but begin no pause`() {
        val values = listOf("0", "0.0", "soon", "-1", "inf", "Infinity", "NaN", "1e3", "+2", "", "2 s")
        expectThat(values.mapIndexed { index, value -> refuse(value, index.toLong()) }).isEqualTo(values)
        expectThat(pauses.all).isEmpty()
        expectThat(refuse(null, milliseconds = 100)).isNull()
    }

    @Test
    fun `a restart ends the pauses`() {
        refuse("30", milliseconds = 0)
        pauses.end()
        expectThat(refuse(null, milliseconds = 1)).isNull()
    }
}

package comfreypath.router.peers

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import comfreypath.coordination.fleet.ConfigurationFreshness
import comfreypath.coordination.fleet.KindDigest
import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.fleet.ProbeMessage
import comfreypath.coordination.fleet.ProbedState
import comfreypath.coordination.fleet.StatusStamp
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNull
import java.time.Duration
import java.time.Instant

/** Guards against messages of peers that end their receiver, or that date a confirmation into the future. */
class PeerMessagesTest {
    private val now = Instant.parse("2026-12-04T12:00:00Z")
    private val status = PeerStatus(
        from = InstanceName("router-2"),
        dataCentre = DataCentreName("south"),
        stamp = StatusStamp(1, now.toEpochMilli()),
        echo = StatusStamp(2, now.toEpochMilli()),
        storeResponseAgeMilliseconds = 200,
        configuration = ConfigurationFreshness(7, 300),
        digests = mapOf("e" to KindDigest(12, 34)),
    )
    private val statusText = Json.encodeToString(status)
    private val probe = ProbeMessage(
        from = InstanceName("router-2"),
        stamp = StatusStamp(2, now.toEpochMilli()),
        state = ProbedState(storeResponseAgeMilliseconds = 200, draining = false),
    )
    private val probeText = Json.encodeToString(probe)
    private val snapshotText = Json.encodeToString(KindSnapshot(12, 300, listOf("{}")))
    private val deep = "[".repeat(DEPTH) + "]".repeat(DEPTH)
    private val oddValues = listOf(
        "-1", "-9223372036854775808", "9223372036854775807", "9223372036854775808", "1e300", "1e400", "0.5", "NaN",
        "null", "\"\"", "\"-1:-1\"", "\"1y2p0ij32e8e7:1y2p0ij32e8e7\"", "[]", deep, """{"a":$deep}""",
    )

    private fun decodedStatus(text: String) = decodePeerStatus(text).fold({ it }, { null })

    private fun decodedSnapshot(text: String) = decodeKindSnapshot(text).fold({ it }, { null })

    private fun replacements(text: String): List<String> = Regex("""(?<=:)(\d+|"[^"]*"|\[[^]]*])(?=[,}])""")
        .findAll(text)
        .flatMap { match -> oddValues.map { text.replaceRange(match.range, it) } }
        .toList()

    @Test
    fun `a message as peers write it is read`() {
        expectThat(decodedStatus(statusText)).isEqualTo(status)
        expectThat(decodedSnapshot(snapshotText)?.revision).isEqualTo(12)
        expectThat(decodeProbe(probeText).get()).isEqualTo(probe)
    }

    @Test
    fun `any odd value in a probe gives an error, or a time and an age that can be computed with`() = onSmallStack {
        val texts = replacements(probeText)
        expectThat(texts).isNotEmpty()
        texts.mapNotNull { decodeProbe(it).get() }.forEach { read ->
            val sentAt = Instant.ofEpochMilli(read.stamp.milliseconds)
            read.state?.storeResponseAgeMilliseconds?.let { sentAt.minusMillis(it) }
        }
    }

    @Test
    fun `any odd value in a status message gives an error, or ages that lead to no time in the future`() =
        onSmallStack {
            val texts = replacements(statusText)
            expectThat(texts).isNotEmpty()
            texts.mapNotNull(::decodedStatus).forEach { read ->
                val age = read.configuration?.ageMilliseconds ?: 0
                expectThat(now.minusMillis(age) <= now).isEqualTo(true)
                Duration.between(now.minusMillis(age), now.plusSeconds(60)).toMillis()
            }
        }

    @Test
    fun `any odd value in a snapshot gives an error, or an age that leads to no time in the future`() = onSmallStack {
        val texts = replacements(snapshotText)
        expectThat(texts).isNotEmpty()
        texts.mapNotNull(::decodedSnapshot).forEach { read ->
            val confirmedAt = now.minusMillis(read.ageMilliseconds)
            expectThat(confirmedAt <= now).isEqualTo(true)
            Duration.between(confirmedAt, now.plusSeconds(60)).toMillis()
        }
    }

    @Test
    fun `a snapshot with a negative revision is an error`() {
        expectThat(decodedSnapshot(snapshotText.replace("12", "-12"))).isNull()
    }

    private fun onSmallStack(block: () -> Unit) {
        var result: Result<Unit>? = null
        Thread(null, { result = runCatching(block) }, "small-stack", STACK_BYTES).apply {
            start()
            join()
        }
        checkNotNull(result).getOrThrow()
    }

    private companion object {
        const val DEPTH = 50_000
        const val STACK_BYTES = 256L * 1024
    }
}

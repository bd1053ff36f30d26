package comfreypath.coordination.evidence

import comfreypath.coordination.fleet.CompactSerializer
import kotlinx.serialization.Serializable
import java.time.Duration

/** Radix of the numbers in reports. */
private const val RADIX = 36
private const val FIELDS = 4

/**
 * What a router tells its peers about a part. Times are ages, since the routers' clocks differ.
 *
 * @property crashes crashes since the latest response, one for each moment
 * @property answeredAge time since the latest response to a request with the part; null if none is known
 * @property quarantine null if the part is not quarantined
 */
@Serializable(with = PartReportSerializer::class)
data class PartReport(
    val part: Long,
    val crashes: List<ReportedCrash> = emptyList(),
    val answeredAge: Duration? = null,
    val quarantine: ReportedQuarantine? = null,
)

/** A crash in a report, [age] ago. */
data class ReportedCrash(val endpointKey: Int, val age: Duration)

/** A quarantine in a report; [remaining] is the time until a trial is due. */
data class ReportedQuarantine(val remaining: Duration, val failures: Int)

/** Serializes a report as `PART:ENDPOINT.AGE,...:ANSWERED:REMAINING.FAILURES`. */
internal object PartReportSerializer : CompactSerializer<PartReport>(
    "PART:ENDPOINT.AGE,...:ANSWERED:REMAINING.FAILURES"
) {
    override fun write(value: PartReport): String = listOf(
        value.part.toULong().toString(RADIX),
        value.crashes.joinToString(",") { "${it.endpointKey.toString(RADIX)}.${it.age.text()}" },
        value.answeredAge?.text().orEmpty(),
        value.quarantine?.let { "${it.remaining.text()}.${it.failures.toString(RADIX)}" }.orEmpty(),
    ).joinToString(":")

    override fun read(text: String): PartReport? {
        val fields = text.split(':')
        val part = fields[0].toULongOrNull(RADIX)
        return if (part == null || fields.size != FIELDS) null else read(part.toLong(), fields)
    }

    private fun read(part: Long, fields: List<String>): PartReport? {
        val (crashTexts, answeredText, quarantineText) = fields.drop(1)
        val crashes = crashTexts.split(',').filter { it.isNotEmpty() }.map(::readCrash)
        val answeredAge = readAge(answeredText)
        val quarantine = readQuarantine(quarantineText)
        val malformed = null in crashes || (answeredAge == null && answeredText.isNotEmpty()) ||
            (quarantine == null && quarantineText.isNotEmpty())
        return if (malformed) null else PartReport(part, crashes.filterNotNull(), answeredAge, quarantine)
    }

    private fun readCrash(text: String): ReportedCrash? {
        val endpointKey = text.substringBefore('.').toIntOrNull(RADIX)
        val age = readAge(text.substringAfter('.', ""))
        return if (endpointKey == null || age == null) null else ReportedCrash(endpointKey, age)
    }

    private fun readQuarantine(text: String): ReportedQuarantine? {
        val remaining = readAge(text.substringBefore('.'))
        val failures = text.substringAfter('.', "").toIntOrNull(RADIX)
        return if (remaining == null || failures == null) null else ReportedQuarantine(remaining, failures)
    }

    private fun Duration.text(): String = toMillis().coerceAtLeast(0).toString(RADIX)

    private fun readAge(text: String): Duration? =
        text.toLongOrNull(RADIX)?.takeIf { it in 0..MAX_AGE_MILLISECONDS }?.let { Duration.ofMillis(it) }

    /** Longer ages would overflow the arithmetic on instants; no quarantine lasts as long. */
    private const val MAX_AGE_MILLISECONDS = 1_000_000_000L
}

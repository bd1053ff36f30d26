package comfreypath.coordination.model

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import java.time.DateTimeException
import java.time.Duration
import java.time.Instant

/** Serializes a duration in ISO 8601 format, such as `PT1.5S`. */
object DurationSerializer : KSerializer<Duration> {
    override val descriptor = PrimitiveSerialDescriptor("java.time.Duration", PrimitiveKind.STRING)
    override fun serialize(encoder: Encoder, value: Duration) = encoder.encodeString(value.toString())
    override fun deserialize(decoder: Decoder): Duration =
        parsed(decoder) { Duration.parse(it) }
}

/** Serializes an instant in ISO 8601 format, such as `2026-12-04T08:00:00Z`. */
object InstantSerializer : KSerializer<Instant> {
    override val descriptor = PrimitiveSerialDescriptor("java.time.Instant", PrimitiveKind.STRING)
    override fun serialize(encoder: Encoder, value: Instant) = encoder.encodeString(value.toString())
    override fun deserialize(decoder: Decoder): Instant = parsed(decoder) { Instant.parse(it) }
}

private fun <T> parsed(decoder: Decoder, parse: (String) -> T): T = try {
    parse(decoder.decodeString())
} catch (malformed: DateTimeException) {
    throw SerializationException(malformed.message, malformed)
}

package comfreypath.coordination.fleet

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Radix of the numbers in status messages. */
private const val RADIX = 36

/** Serializes a value as a string of base-36 numbers, to keep status messages small. */
internal abstract class CompactSerializer<T>(private val format: String) : KSerializer<T> {
    override val descriptor = PrimitiveSerialDescriptor(format, PrimitiveKind.STRING)

    /** Formats [value]. */
    protected abstract fun write(value: T): String

    /** Parses [text]; returns null if it is malformed. */
    protected abstract fun read(text: String): T?

    override fun serialize(encoder: Encoder, value: T) = encoder.encodeString(write(value))

    override fun deserialize(decoder: Decoder): T =
        read(decoder.decodeString()) ?: throw SerializationException("expected a string of the form $format")
}

/** Serializes a [KindDigest] as `REVISION:HASH`. */
internal object KindDigestSerializer : CompactSerializer<KindDigest>("REVISION:HASH") {
    override fun write(value: KindDigest) = "${value.revision.toString(RADIX)}:${value.hash.toString(RADIX)}"

    override fun read(text: String): KindDigest? {
        val revision = text.substringBefore(':').toLongOrNull(RADIX)
        val hash = text.substringAfter(':', "").toIntOrNull(RADIX)
        return if (revision == null || hash == null) null else KindDigest(revision, hash)
    }
}

/** Serializes a [StatusStamp] as `INCARNATION:MILLISECONDS`. */
internal object StatusStampSerializer : CompactSerializer<StatusStamp>("INCARNATION:MILLISECONDS") {
    override fun write(value: StatusStamp) =
        "${value.incarnation.toString(RADIX)}:${value.milliseconds.toString(RADIX)}"

    override fun read(text: String): StatusStamp? {
        val incarnation = text.substringBefore(':').toIntOrNull(RADIX)
        val milliseconds = text.substringAfter(':', "").toLongOrNull(RADIX)
        return if (incarnation == null || milliseconds == null) null else StatusStamp(incarnation, milliseconds)
    }
}

/** Serializes [InFlight] as comma-separated `KEY:COUNT` pairs; `:COUNT` is omitted if the count is 1. */
internal object InFlightSerializer : CompactSerializer<InFlight>("KEY:COUNT,...") {
    override fun write(value: InFlight) = value.counts.entries.joinToString(",") { (key, count) ->
        if (count == 1) key.toString(RADIX) else "${key.toString(RADIX)}:${count.toString(RADIX)}"
    }

    override fun read(text: String): InFlight? {
        val pairs = text.split(',').filter { it.isNotEmpty() }.map { pair ->
            val key = pair.substringBefore(':').toIntOrNull(RADIX)
            val count = pair.substringAfter(':', "1").toIntOrNull(RADIX)
            if (key == null || count == null) null else key to count
        }
        return if (null in pairs) null else InFlight(pairs.filterNotNull().toMap())
    }
}

/** Serializes [Departures] as comma-separated `KEY:REVISION` pairs. */
internal object DeparturesSerializer : CompactSerializer<Departures>("KEY:REVISION,...") {
    override fun write(value: Departures) = value.revisions.entries.joinToString(",") { (key, revision) ->
        "${key.toString(RADIX)}:${revision.toString(RADIX)}"
    }

    override fun read(text: String): Departures? {
        val pairs = text.split(',').filter { it.isNotEmpty() }.map { pair ->
            val key = pair.substringBefore(':').toIntOrNull(RADIX)
            val revision = pair.substringAfter(':', "").toLongOrNull(RADIX)
            if (key == null || revision == null) null else key to revision
        }
        return if (null in pairs) null else Departures(pairs.filterNotNull().toMap())
    }
}

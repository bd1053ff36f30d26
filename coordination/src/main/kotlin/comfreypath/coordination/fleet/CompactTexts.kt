package comfreypath.coordination.fleet

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** The base in which numbers are written in statuses. */
private const val BASE = 36

/** Writes a value as one short text of numbers, since statuses are many. */
internal abstract class CompactSerializer<T>(private val form: String) : KSerializer<T> {
    override val descriptor = PrimitiveSerialDescriptor(form, PrimitiveKind.STRING)

    /** The text for [value]. */
    protected abstract fun write(value: T): String

    /** The value of [text], or null when it has another form. */
    protected abstract fun read(text: String): T?

    override fun serialize(encoder: Encoder, value: T) = encoder.encodeString(write(value))

    override fun deserialize(decoder: Decoder): T =
        read(decoder.decodeString()) ?: throw SerializationException("a text of the form $form is expected")
}

/** Writes a digest as `REVISION:HASH`. */
internal object KindDigestSerializer : CompactSerializer<KindDigest>("REVISION:HASH") {
    override fun write(value: KindDigest) = "${value.revision.toString(BASE)}:${value.hash.toString(BASE)}"

    override fun read(text: String): KindDigest? {
        val revision = text.substringBefore(':').toLongOrNull(BASE)
        val hash = text.substringAfter(':', "").toIntOrNull(BASE)
        return if (revision == null || hash == null) null else KindDigest(revision, hash)
    }
}

/** Writes a stamp as `INCARNATION:MILLISECONDS`. */
internal object StatusStampSerializer : CompactSerializer<StatusStamp>("INCARNATION:MILLISECONDS") {
    override fun write(value: StatusStamp) =
        "${value.incarnation.toString(BASE)}:${value.milliseconds.toString(BASE)}"

    override fun read(text: String): StatusStamp? {
        val incarnation = text.substringBefore(':').toIntOrNull(BASE)
        val milliseconds = text.substringAfter(':', "").toLongOrNull(BASE)
        return if (incarnation == null || milliseconds == null) null else StatusStamp(incarnation, milliseconds)
    }
}

/** Writes counts as `KEY:COUNT` pairs, separated by commas; a count of one is left out. */
internal object InFlightSerializer : CompactSerializer<InFlight>("KEY:COUNT,...") {
    override fun write(value: InFlight) = value.counts.entries.joinToString(",") { (key, count) ->
        if (count == 1) key.toString(BASE) else "${key.toString(BASE)}:${count.toString(BASE)}"
    }

    override fun read(text: String): InFlight? {
        val pairs = text.split(',').filter { it.isNotEmpty() }.map { pair ->
            val key = pair.substringBefore(':').toIntOrNull(BASE)
            val count = pair.substringAfter(':', "1").toIntOrNull(BASE)
            if (key == null || count == null) null else key to count
        }
        return if (null in pairs) null else InFlight(pairs.filterNotNull().toMap())
    }
}

package comfreypath.coordination.placement

import net.openhft.hashing.LongHashFunction

private const val FIRST_MULTIPLIER = -0x40a7b892e31b1a47L
private const val SECOND_MULTIPLIER = -0x6b2fb644ecceee15L
private const val FIRST_SHIFT = 30
private const val SECOND_SHIFT = 27
private const val THIRD_SHIFT = 31
private const val MANTISSA_SHIFT = 11
private const val MANTISSA_UNIT = 1.0 / (1L shl 53)

private val textHash: LongHashFunction = LongHashFunction.xx3()

/** The 64-bit XXH3 hash of [text], equal on every router. */
fun hashOf(text: String): Long = textHash.hashChars(text)

/** Combines two hashes into one with the finalizer of SplitMix64 (Steele, Lea and Flood, 2014). */
fun mix(first: Long, second: Long): Long {
    var bits = first xor java.lang.Long.rotateLeft(second, FIRST_SHIFT)
    bits = (bits xor (bits ushr FIRST_SHIFT)) * FIRST_MULTIPLIER
    bits = (bits xor (bits ushr SECOND_SHIFT)) * SECOND_MULTIPLIER
    return bits xor (bits ushr THIRD_SHIFT)
}

/** Maps [hash] uniformly to the interval [0, 1). */
fun unitInterval(hash: Long): Double = (hash ushr MANTISSA_SHIFT) * MANTISSA_UNIT

package comfreypath.router.peers

import comfreypath.transport.GZIP_ENCODING
import comfreypath.transport.gzip
import kotlinx.serialization.json.Json
import java.time.Duration
import java.time.Instant

private const val MIN_COMPRESSED_BYTES = 2_048
private const val REUSE_MILLISECONDS = 200L

/** The encoded body of a response; [encoding] is its content encoding, null if there is none. */
internal class EncodedBody(val bytes: ByteArray, val encoding: String?)

/**
 * Encodes snapshots for peers.
 *
 * Load pattern: a large configuration changes, and most routers of a fleet fetch it from the few that have it, whose
 * links are narrow. Bodies are compressed, and encoded once for the peers that ask at about the same time.
 */
internal class SnapshotEncoder {
    private class Cached(val snapshot: KindSnapshot, val body: EncodedBody, val until: Instant)

    private val cached = HashMap<String, Cached>()

    /**
     * The body for [snapshot] of the kind called [label], for a peer that accepts a compressed one if [compress] is
     * true. The age in it may be too high by the time of reuse.
     */
    fun encode(label: String, snapshot: KindSnapshot, now: Instant, compress: Boolean = true): EncodedBody {
        val known = cached[label]?.takeIf { now < it.until && it.snapshot.hasObjectsOf(snapshot) }
        return when {
            !compress -> EncodedBody(Json.encodeToString(snapshot).encodeToByteArray(), encoding = null)
            known != null -> known.body
            else -> cache(snapshot, now).also { cached[label] = it }.body
        }
    }

    private fun cache(snapshot: KindSnapshot, now: Instant): Cached {
        val aged = snapshot.copy(ageMilliseconds = snapshot.ageMilliseconds + reuse.toMillis())
        val plain = Json.encodeToString(aged).encodeToByteArray()
        val body = if (plain.size < MIN_COMPRESSED_BYTES) {
            EncodedBody(plain, encoding = null)
        } else {
            EncodedBody(gzip(plain), GZIP_ENCODING)
        }
        return Cached(snapshot, body, until = now + reuse)
    }

    private fun KindSnapshot.hasObjectsOf(other: KindSnapshot) =
        revision == other.revision && since == other.since && hash == other.hash

    private companion object {
        val reuse: Duration = Duration.ofMillis(REUSE_MILLISECONDS)
    }
}

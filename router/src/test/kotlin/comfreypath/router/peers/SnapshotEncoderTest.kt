package comfreypath.router.peers

import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import comfreypath.transport.GZIP_ENCODING
import comfreypath.transport.gunzip
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotSameInstanceAs
import strikt.assertions.isNull
import strikt.assertions.isSameInstanceAs
import java.time.Instant

/** Guards against a router that fills its own link with the configurations that its peers fetch from it. */
class SnapshotEncoderTest {
    private val now = Instant.ofEpochSecond(1_000)
    private val encoder = SnapshotEncoder()
    private val routes = (1..250).joinToString(",") { """{"host":"h$it.example","prefix":"/p$it/","service":"s"}""" }
    private val large = KindSnapshot(revision = 5, ageMilliseconds = 40, documents = listOf(routes))

    @Test
    fun `seventy peers get a configuration of 250 routes in less than half a megabyte`() {
        val bytes = (1..70).sumOf { encoder.encode("configuration", large, now.plusMillis(it.toLong())).bytes.size }
        expectThat(bytes).isLessThan(500_000)
    }

    @Test
    fun `a compressed snapshot has the same objects, and an age that covers the time for which it is reused`() {
        val body = encoder.encode("configuration", large, now)
        expectThat(body.encoding).isEqualTo(GZIP_ENCODING)
        val decoded = gunzip(body.bytes, maxBytes = 1_000_000).andThen { decodeKindSnapshot(it.decodeToString()) }.get()
        expectThat(decoded).isEqualTo(large.copy(ageMilliseconds = 240))
    }

    @Test
    fun `a snapshot is encoded once for the peers that ask at the same time, and again when it has changed`() {
        val body = encoder.encode("endpoint", large, now)
        val later = large.copy(ageMilliseconds = 90)
        expectThat(encoder.encode("endpoint", later, now.plusMillis(50))).isSameInstanceAs(body)
        expectThat(encoder.encode("endpoint", large.copy(revision = 6), now)).isNotSameInstanceAs(body)
        expectThat(encoder.encode("endpoint", large.copy(since = 4, hash = 1), now)).isNotSameInstanceAs(body)
        expectThat(encoder.encode("endpoint", large, now.plusMillis(200))).isNotSameInstanceAs(body)
    }

    @Test
    fun `a short delta is not compressed`() {
        val delta = KindSnapshot(revision = 5, ageMilliseconds = 4, documents = listOf("{}"), since = 4, hash = 1)
        expectThat(encoder.encode("endpoint", delta, now).encoding).isNull()
    }
}

package comfreypath.transport

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull

class CompressionTest {
    private val routes = (1..250).joinToString(",") { """{"host":"host-$it.example","path":"/p$it/","service":"s"}""" }

    @Test
    fun `a list of routes gets much smaller, and is the same after decompression`() {
        val compressed = gzip(routes.encodeToByteArray())
        expectThat(compressed.size).isLessThan(routes.length / 4)
        expectThat(gunzip(compressed, routes.length).get()?.decodeToString()).isEqualTo(routes)
    }

    @Test
    fun `a body that would take more memory than allowed is not decompressed`() {
        expectThat(gunzip(gzip(ByteArray(1_000_000)), maxBytes = 10_000).getError()).isNotNull().contains("10000 bytes")
    }

    @Test
    fun `bytes that are not in the format are an error`() {
        expectThat(gunzip(ByteArray(10), maxBytes = 100).getError()).isNotNull().contains("decompressed")
    }
}

package comfreypath.transport

import java.io.Closeable
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket

private const val TIMEOUT_MILLISECONDS = 5_000

/** One HTTP/1.1 response as it arrived; [complete] is false if the connection ended within it. */
internal data class RawResponse(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
    val complete: Boolean
)

/** A client that controls each byte that it sends, and how fast it reads. */
internal class RawClient(address: Address, receiveBuffer: Int? = null) : Closeable {
    private val socket = Socket().apply {
        receiveBuffer?.let { receiveBufferSize = it }
        soTimeout = TIMEOUT_MILLISECONDS
        connect(InetSocketAddress(address.host, address.port))
    }
    private val input: InputStream = socket.getInputStream().buffered()

    fun send(text: String) {
        socket.getOutputStream().write(text.encodeToByteArray())
        socket.getOutputStream().flush()
    }

    fun get(path: String, headers: String = "") = send("GET $path HTTP/1.1\r\nHost: a\r\n$headers\r\n")

    /** Reads the next response, up to its head unless it [hasBody]; null if the connection ended before it began. */
    fun read(hasBody: Boolean = true): RawResponse? {
        val statusLine = line()?.takeIf { it.isNotEmpty() } ?: return null
        check(statusLine.startsWith("HTTP/1.1 ")) { "no status line: $statusLine" }
        val headers = generateSequence { line()?.takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = StringBuilder()
        val complete = if (!hasBody) {
            true
        } else if (headers["transfer-encoding"] == "chunked") {
            readChunks(body)
        } else {
            readBytes(headers["content-length"]?.toInt() ?: 0, body)
        }
        return RawResponse(statusLine.split(' ')[1].toInt(), headers, body.toString(), complete)
    }

    private fun readChunks(body: StringBuilder): Boolean {
        var size = line()?.toIntOrNull(radix = 16)
        while (size != null && size > 0) {
            if (!readBytes(size, body)) return false
            line()
            size = line()?.toIntOrNull(radix = 16)
        }
        return size == 0 && line() != null
    }

    private fun readBytes(length: Int, body: StringBuilder): Boolean {
        val bytes = input.readNBytes(length)
        body.append(bytes.decodeToString())
        return bytes.size == length
    }

    /** Reads until the connection ends; false if it stays open for the timeout. */
    fun awaitEnd(): Boolean = input.read() == -1

    private fun line(): String? {
        val line = StringBuilder()
        var byte = input.read()
        while (byte != -1 && byte != '\n'.code) {
            line.append(byte.toChar())
            byte = input.read()
        }
        return if (byte == -1) null else line.toString().trimEnd('\r')
    }

    override fun close() = socket.close()
}

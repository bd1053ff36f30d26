package comfreypath.transport

import io.netty.handler.codec.http.HttpResponse

private const val PROTOCOL = "HTTP/1."
private val STATUS_LINE = Regex("HTTP/1\\.[0-9] [0-9]{3}")

/**
 * True if the head holds the status line of another one: a server that sends a part of a head, and then a whole one,
 * would have its response read with the status of the former and the headers of the latter.
 */
internal val HttpResponse.joinsTwoHeads: Boolean
    get() = status().reasonPhrase().holdsStatusLine || headers().any { it.value.holdsStatusLine || it.isStatusLine }

private val String.holdsStatusLine: Boolean get() = contains(PROTOCOL) && STATUS_LINE.containsMatchIn(this)

/** The decoder takes a status line between headers for a header, whose name ends at the first space. */
private val Map.Entry<String, String>.isStatusLine: Boolean get() = key.contains(PROTOCOL)

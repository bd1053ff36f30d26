package comfreypath.daemon

import comfreypath.standins.PlatformServerStandIn

/** The head of a sealed response to [request]; [framing] holds further header lines, without the last line end. */
internal fun rawHead(request: RawRequest, status: String, framing: String): String =
    "HTTP/1.1 $status\r\nX-Attempt-Id: ${request.id}\r\n" +
        "X-Response-Seal: ${PlatformServerStandIn.signature(request.id)}\r\n$framing\r\n\r\n"

/** One chunk of a body in chunks. */
internal fun rawChunk(text: String): String = "${Integer.toHexString(text.length)}\r\n$text\r\n"

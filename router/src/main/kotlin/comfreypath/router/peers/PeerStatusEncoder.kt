package comfreypath.router.peers

import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.fleet.StatusStamp
import kotlinx.serialization.json.Json

private const val ECHO_FIELD = "\"e\""

/**
 * Encodes status messages as JSON.
 *
 * The messages that a router sends to its peers at the same time differ only in the echo. The rest is encoded once.
 */
internal class PeerStatusEncoder {
    private var status: PeerStatus? = null
    private var prefix = ""

    /** Returns [status] with [echo] as JSON in UTF-8; [status] itself has no echo. */
    fun encode(status: PeerStatus, echo: StatusStamp?): ByteArray {
        if (status !== this.status) {
            this.status = status
            prefix = Json.encodeToString(status).removeSuffix("}")
        }
        val last = if (echo == null) "}" else ",$ECHO_FIELD:${Json.encodeToString(echo)}}"
        return (prefix + last).encodeToByteArray()
    }
}

package comfreypath.transport

import io.netty.util.NetUtil
import java.net.InetSocketAddress

private const val MAX_PORT = 65_535

/** An IP address and a TCP or UDP port, printed as `10.0.0.7:8080`. */
data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        /** Parses `host:port`; null unless the host is an IP address and the port is in the range 0 to 65,535. */
        fun parse(text: String): Address? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').takeIf { digits -> digits.all { it in '0'..'9' } }?.toIntOrNull()
            val valid = NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host)
            return if (valid && port != null && port in 0..MAX_PORT) Address(host, port) else null
        }
    }
}

internal fun Address.toSocketAddress(): InetSocketAddress = InetSocketAddress(host, port)

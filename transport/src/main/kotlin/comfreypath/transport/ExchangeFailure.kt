package comfreypath.transport

/**
 * Why an exchange yielded no complete response.
 *
 * @property sent true if any byte of the request may have reached the server
 */
sealed interface ExchangeFailure {
    val sent: Boolean

    /** No connection could be opened in time, so nothing was sent; [refused] is true if the other side said so. */
    data class ConnectFailed(val address: Address, val cause: String, val refused: Boolean) : ExchangeFailure {
        override val sent: Boolean = false
    }

    /** The connection was closed or reset, or the response was malformed. */
    data class ConnectionLost(override val sent: Boolean) : ExchangeFailure

    /** The response body is longer than the [maxBytes] that the request allowed. */
    data class BodyTooLong(val maxBytes: Int) : ExchangeFailure {
        override val sent: Boolean = true
    }

    /** No part of the response arrived within the head or chunk timeout. */
    data class TimedOut(override val sent: Boolean) : ExchangeFailure
}

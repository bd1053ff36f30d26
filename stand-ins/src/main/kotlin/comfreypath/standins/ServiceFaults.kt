package comfreypath.standins

import kotlinx.serialization.Serializable

/**
 * The faults that a service stand-in injects. `POST /faults` replaces all of them.
 *
 * @property latencyMilliseconds the time that a booking takes
 * @property refuse responds to bookings with status 503 without running them
 * @property cutAfterRun runs bookings but closes the connection without a response
 * @property silentAfterRun runs bookings but sends no response, and keeps the connection open
 */
@Serializable
data class ServiceFaults(
    val latencyMilliseconds: Long = 1,
    val refuse: Boolean = false,
    val cutAfterRun: Boolean = false,
    val silentAfterRun: Boolean = false,
)

/**
 * Counts of a service stand-in since its start, returned by `GET /counts`.
 *
 * @property runs the number of runs of each booking by receipt
 */
@Serializable
data class ServiceCounts(val runs: Map<String, Int> = emptyMap())

/** A booking request. [receipt] is the ID that the caller gives to the booking. */
@Serializable
data class Booking(val receipt: String, val slot: String = "")

/** The response to a booking that ran. */
@Serializable
data class BookingConfirmation(val receipt: String, val number: Int)

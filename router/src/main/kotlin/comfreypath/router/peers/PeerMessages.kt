package comfreypath.router.peers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import comfreypath.coordination.fleet.LoadMessage
import comfreypath.coordination.fleet.PeerStatus
import comfreypath.coordination.fleet.ProbeMessage
import comfreypath.transport.decodeJson
import java.time.Duration

private const val MAX_IN_FLIGHT = 1_000_000
private const val MAX_AGE_DAYS = 36_500L

/** The ages that a peer may report, in milliseconds. Much larger ones would overflow when subtracted from a time. */
private val AGES = 0L..Duration.ofDays(MAX_AGE_DAYS).toMillis()

/** Decodes a status message of a peer; the error is a text for the log. */
internal fun decodePeerStatus(text: String): Result<PeerStatus, String> =
    decodeJson<PeerStatus>(text).andThen { status ->
        val ages = listOfNotNull(
            status.storeResponseAgeMilliseconds,
            status.configuration?.ageMilliseconds,
            status.storeOutageEndedMilliseconds,
        )
        when {
            ages.any { it !in AGES } -> Err("an age is out of range")
            status.inFlight.counts.values.any { it !in 0..MAX_IN_FLIGHT } -> Err("a count is out of range")
            status.echo?.let { it.milliseconds < 0 } ?: false -> Err("the echoed time is out of range")
            else -> Ok(status)
        }
    }

/** Decodes a message of loads, without its prefix; the error is a text for the log. */
internal fun decodeLoadMessage(text: String): Result<LoadMessage, String> =
    decodeJson<LoadMessage>(text).andThen { message ->
        val valid = message.inFlight.counts.values.all { it in 0..MAX_IN_FLIGHT }
        if (valid) Ok(message) else Err("a count is out of range")
    }

/** Decodes a probe or the response to one, without its prefix; the error is a text for the log. */
internal fun decodeProbe(text: String): Result<ProbeMessage, String> = decodeJson<ProbeMessage>(text).andThen { probe ->
    val age = probe.state?.storeResponseAgeMilliseconds
    when {
        age != null && age !in AGES -> Err("the age is out of range")
        probe.stamp.milliseconds < 0 -> Err("the time is out of range")
        else -> Ok(probe)
    }
}

/** Decodes a snapshot or delta of a peer; the error is a text for the log. */
internal fun decodeKindSnapshot(text: String): Result<KindSnapshot, String> =
    decodeJson<KindSnapshot>(text).andThen { snapshot ->
        when {
            snapshot.ageMilliseconds !in AGES -> Err("the age is out of range")
            snapshot.revision < 0 -> Err("the revision is out of range")
            else -> Ok(snapshot)
        }
    }

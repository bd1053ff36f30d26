package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the counts of a [LoadMessage] cover. */
@Serializable
enum class LoadScope {
    /** The requests of the sender. */
    @SerialName("r")
    ROUTER,

    /** The requests of all routers in the sender's data centre. */
    @SerialName("d")
    DATA_CENTRE,

    /** The requests of all routers. */
    @SerialName("f")
    FLEET,
}

/**
 * Requests in flight that a router reports to the relay of its data centre, or that a relay has summed up. Serial names
 * are short to keep messages small.
 *
 * @property from sender
 * @property dataCentre data centre of the sender
 * @property stamp orders the messages of the sender
 * @property scope what the counts cover
 * @property inFlight requests in flight at each endpoint
 */
@Serializable
data class LoadMessage(
    @SerialName("n") val from: InstanceName,
    @SerialName("z") val dataCentre: DataCentreName,
    @SerialName("t") val stamp: StatusStamp,
    @SerialName("s") val scope: LoadScope,
    @SerialName("f") val inFlight: InFlight,
)

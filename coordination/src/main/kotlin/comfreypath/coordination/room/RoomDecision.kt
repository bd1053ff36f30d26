package comfreypath.coordination.room

import comfreypath.coordination.overload.Admission

/**
 * The decision on a request.
 *
 * @property state the state after it
 * @property servedShare the part of all offered work that the service has room for
 * @property flowShare the part of the work of the request's team and priority that is admitted
 * @property returning whether the caller came back as it was told
 */
data class RoomDecision(
    val state: RoomState,
    val admission: Admission,
    val servedShare: Double,
    val flowShare: Double,
    val returning: Boolean,
)

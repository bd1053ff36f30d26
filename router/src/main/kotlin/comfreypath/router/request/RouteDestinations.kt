package comfreypath.router.request

import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.placement.mix
import comfreypath.coordination.placement.unitInterval
import comfreypath.coordination.routing.Route

private const val WEIGHT_SALT = 0x776569676874L

/** Picks a destination by weight. All attempts of a request get the same one. */
internal fun Route.serviceFor(requestHash: Long): ServiceName? {
    val total = destinations.sumOf { it.weight }
    var point = (unitInterval(mix(requestHash, WEIGHT_SALT)) * total).toInt()
    return destinations.firstOrNull {
        point -= it.weight
        point < 0
    }?.service ?: destinations.lastOrNull()?.service
}

package comfreypath.router.claims

import comfreypath.coordination.model.InstanceName

/**
 * The eras in which the peers have written their claims again.
 *
 * @property known the peers that are known; what others have told is forgotten
 */
internal class RestoredClaims(private val known: () -> Set<InstanceName>) {
    private val eras = HashMap<InstanceName, Long>()

    /** Records that [peer] has written its claims again in [era]. */
    fun record(peer: InstanceName, era: Long) {
        eras[peer] = era
        if (eras.size > known().size) eras.keys.retainAll(known())
    }

    /** True if each of [peers] has written its claims again in [era], as it says. */
    fun restoredBy(peers: Set<InstanceName>, era: Long): Boolean = peers.all { (eras[it] ?: 0) >= era }
}

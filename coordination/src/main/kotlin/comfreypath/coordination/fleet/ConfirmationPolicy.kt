package comfreypath.coordination.fleet

import java.time.Duration

private const val DUTY = "confirm"

/** The parts of the maximum age at which the routers of each level renew their confirmation. */
private const val READER_SHARE = 0.4
private const val RELAY_SHARE = 0.5
private const val MEMBER_SHARE = 0.8

/** How a router renews the confirmation that its configuration is current. */
sealed interface ConfirmationStep {
    /** The last confirmation is recent enough. */
    data object Wait : ConfirmationStep

    /** Read the configuration from the store. */
    data object ReadStore : ConfirmationStep

    /** Ask [peer] for its own confirmation, which costs the store nothing. */
    data class AskPeer(val peer: PeerAddress) : ConfirmationStep
}

/**
 * Decides where routers get their confirmations, so that the reads of the store do not grow with the fleet.
 *
 * One router reads the store. One in each data centre asks it, and the others ask that one. Each level renews its
 * confirmation at a lower age than the level that asks it. A router whose confirmation gets too old all the same reads
 * the store itself, so that a lost or paused peer delays nothing for longer than that.
 *
 * @property selector ranks the routers for the duty, by what their status messages say
 */
class ConfirmationPolicy(private val selector: StoreWatcherSelector = StoreWatcherSelector()) {
    /**
     * Returns the next step of a router.
     *
     * @param age time since the last confirmation; null if there was none
     * @param maxAge the age at which this router reads the store in any case
     */
    fun next(fleet: FleetView, age: Duration?, maxAge: Duration): ConfirmationStep = when {
        age == null || age >= maxAge -> ConfirmationStep.ReadStore
        age < maxAge.share(READER_SHARE) -> ConfirmationStep.Wait
        else -> renewal(fleet, age, maxAge)
    }

    /** The duties on whose holder a router relies for its confirmations. */
    fun duties(fleet: FleetView): List<Duty> {
        val local = fleet.local()
        return listOf(Duty(DUTY, if (selector.first(DUTY, local) == null) fleet else local, selector))
    }

    private fun renewal(fleet: FleetView, age: Duration, maxAge: Duration): ConfirmationStep {
        val relay = selector.first(DUTY, fleet.local())
        val source = relay ?: selector.first(DUTY, fleet)
        return when {
            source == null -> ConfirmationStep.ReadStore
            age < maxAge.share(if (relay == null) RELAY_SHARE else MEMBER_SHARE) -> ConfirmationStep.Wait
            else -> ConfirmationStep.AskPeer(source.address)
        }
    }

    private fun Duration.share(share: Double): Duration = Duration.ofMillis((toMillis() * share).toLong())
}

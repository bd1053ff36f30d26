package comfreypath.coordination.fleet

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.time.Duration
import java.time.Instant

class ConfirmationPolicyTest {
    private val policy = ConfirmationPolicy()
    private val now = Instant.ofEpochSecond(1_000)
    private val interval = GossipOptions().interval(LARGE)
    private val maxAge = Duration.ofSeconds(3)
    private val routers = (1..LARGE).map { number ->
        PeerAddress(InstanceName("router-$number"), "10.0.0.$number", 7, DataCentreName("dc-${number % DATA_CENTRES}"))
    }

    private fun peer(address: PeerAddress, storeResponseAge: Long? = 0) = Peer(
        address = address,
        receivedAt = now,
        status = PeerStatus(
            from = address.name,
            dataCentre = address.dataCentre,
            stamp = StatusStamp(1, 1),
            storeResponseAgeMilliseconds = storeResponseAge,
        ),
    )

    private fun steps(age: Duration, asPeer: (PeerAddress) -> Peer = { peer(it) }) = routers.associateWith { self ->
        val peers = routers.filter { it != self }.map(asPeer)
        policy.next(FleetView(self.name, self.dataCentre, peers, interval, now), age, maxAge)
    }

    @Test
    fun `one router of a large fleet reads the store, one in each data centre asks it, and the others ask that one`() {
        val steps = steps(maxAge.minusMillis(1))
        val reader = steps.filterValues { it == ConfirmationStep.ReadStore }.keys
        expectThat(reader).hasSize(1)
        val relays = steps.filterValues { it == ConfirmationStep.AskPeer(reader.first()) }.keys
            .filter { it.dataCentre != reader.first().dataCentre }
        expectThat(relays).hasSize(DATA_CENTRES - 1)
        val members = steps.filterKeys { it !in relays && it !in reader }
        expectThat(members.entries).all {
            get { (value as ConfirmationStep.AskPeer).peer.dataCentre }.isEqualTo(subject.key.dataCentre)
        }
    }

    @Test
    fun `a confirmation that is too old is read from the store by every router that has it`() {
        expectThat(steps(maxAge).values).all { isEqualTo(ConfirmationStep.ReadStore) }
    }

    @Test
    fun `a recent confirmation is not renewed`() {
        expectThat(steps(Duration.ofSeconds(1)).values).all { isEqualTo(ConfirmationStep.Wait) }
    }

    @Test
    fun `another router reads when the store does not respond to the first one`() {
        val age = maxAge.minusMillis(1)
        val reader = steps(age).entries.single { it.value == ConfirmationStep.ReadStore }.key
        val next = steps(age) { peer(it, storeResponseAge = if (it == reader) 9_000 else 0) }
        expectThat(next.filterValues { it == ConfirmationStep.ReadStore }.keys - reader).hasSize(1)
    }

    private companion object {
        const val LARGE = 95
        const val DATA_CENTRES = 5
    }
}

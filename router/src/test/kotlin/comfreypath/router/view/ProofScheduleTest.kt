package comfreypath.router.view

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.time.Duration

class ProofScheduleTest {
    private val interval = Duration.ofMillis(600)
    private val schedule = ProofSchedule(interval)

    @Test
    fun `a proof that takes two statuses to a router the store turns away is still in time`() {
        for (keys in 2_000L..10_000L step 500) {
            val ages = schedule.ages(Duration.ofMillis(keys))
            expectThat(ages.longest + interval + interval).isLessThanOrEqualTo(Duration.ofMillis(keys))
            expectThat(ages.longest).isGreaterThan(ages.shortest)
        }
    }

    @Test
    fun `a short bound still leaves time between two reads`() {
        expectThat(schedule.ages(Duration.ofMillis(500)).longest).isEqualTo(Duration.ofMillis(400))
    }
}

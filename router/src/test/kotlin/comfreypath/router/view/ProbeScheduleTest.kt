package comfreypath.router.view

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.time.Duration

class ProbeScheduleTest {
    private val interval = Duration.ofMillis(600)
    private val schedule = ProbeSchedule(interval)

    @Test
    fun `a confirmation that takes two status messages to a router the store refuses is still in time`() {
        for (keys in 2_000L..10_000L step 500) {
            val ages = schedule.ageRange(Duration.ofMillis(keys))
            expectThat(ages.max + interval + interval).isLessThanOrEqualTo(Duration.ofMillis(keys))
            expectThat(ages.max).isGreaterThan(ages.min)
        }
    }

    @Test
    fun `a short maximum age of keys still leaves time between two reads`() {
        expectThat(schedule.ageRange(Duration.ofMillis(500)).max).isEqualTo(Duration.ofMillis(400))
    }
}

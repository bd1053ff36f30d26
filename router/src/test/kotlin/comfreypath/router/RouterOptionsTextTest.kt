package comfreypath.router

import comfreypath.coordination.limits.RetryBounds
import comfreypath.coordination.rollout.RolloutBounds
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Duration

/** Guards against a renamed class or property that changes the log line of reloaded settings. */
class RouterOptionsTextTest {
    @Test
    fun `timeouts in a log line have this text`() {
        val timeouts = RouterTimeouts(
            connect = Duration.ofMillis(300),
            storeCall = Duration.ofMillis(1_500),
            watch = Duration.ofSeconds(2),
            grace = Duration.ofSeconds(8),
        )
        expectThat(timeouts.toString())
            .isEqualTo("RouterTimeouts(connect=PT0.3S, storeCall=PT1.5S, watch=PT2S, grace=PT8S)")
    }

    @Test
    fun `bounds in a log line have this text`() {
        val bounds = ServiceBounds(
            configuration = Duration.ofSeconds(2),
            retries = RetryBounds(share = 0.2, slack = 50.0, window = Duration.ofSeconds(10)),
            revocation = Duration.ofSeconds(5),
            rollouts = RolloutBounds(share = 0.1, slack = 50.0),
        )
        expectThat(bounds.toString()).isEqualTo(
            "ServiceBounds(configuration=PT2S, retries=RetryBounds(share=0.2, slack=50.0, window=PT10S), " +
                "revocation=PT5S, rollouts=RolloutBounds(share=0.1, slack=50.0))",
        )
    }
}

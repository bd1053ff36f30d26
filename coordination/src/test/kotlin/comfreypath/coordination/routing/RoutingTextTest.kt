package comfreypath.coordination.routing

import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.EndpointName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.model.VersionName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.time.Duration

/** Guards against a renamed property or constant that changes log lines, or the metric label `kind` of a route. */
class RoutingTextTest {
    @Test
    fun `an endpoint in a log line has this text`() {
        val endpoint = Endpoint(
            name = EndpointName("e1"),
            service = ServiceName("chat"),
            host = "10.0.0.1",
            port = 8080,
            dataCentre = DataCentreName("south"),
            version = VersionName("v1"),
            slots = 6,
            draining = true,
            coldMilliseconds = 1_500,
            startedAt = 99,
        )
        expectThat(endpoint.toString()).isEqualTo(
            "Endpoint(name=e1, service=chat, host=10.0.0.1, port=8080, dataCentre=south, version=v1, slots=6, " +
                "draining=true, coldMilliseconds=1500, startedAt=99)",
        )
    }

    @Test
    fun `a rollout in a log line has this text`() {
        fun text(state: RolloutState) =
            Rollout(ServiceName("chat"), VersionName("v2"), Duration.ofSeconds(30), state, VersionName("v1")).toString()
        expectThat(RolloutState.entries.map(::text)).containsExactly(
            "Rollout(service=chat, target=v2, duration=PT30S, state=RUNNING, stateTarget=v1)",
            "Rollout(service=chat, target=v2, duration=PT30S, state=COMPLETED, stateTarget=v1)",
            "Rollout(service=chat, target=v2, duration=PT30S, state=ROLLED_BACK, stateTarget=v1)",
        )
    }

    @Test
    fun `the kinds of routes have these names in lower case`() {
        expectThat(RouteKind.entries.map { it.name.lowercase() })
            .containsExactly("idempotent", "non_idempotent", "streaming")
    }
}

package comfreypath.router.telemetry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a changed name, label or help text of a metric, on which dashboards and alerts rely. */
class RouterMetricsExpositionTest {
    private val expected = """
        # HELP comfreypath_all_endpoints_limited_total Requests refused as endpoints limit their rate.
        # TYPE comfreypath_all_endpoints_limited_total counter
        comfreypath_all_endpoints_limited_total{route="r-1"} 14.0
        # HELP comfreypath_all_endpoints_out_total Requests refused as all endpoints pause or leave.
        # TYPE comfreypath_all_endpoints_out_total counter
        comfreypath_all_endpoints_out_total{route="r-1"} 12.0
        # HELP comfreypath_answered_total Requests answered.
        # TYPE comfreypath_answered_total counter
        comfreypath_answered_total{kind="streaming",status="200"} 1.0
        # HELP comfreypath_attempts_total Attempts at endpoints.
        # TYPE comfreypath_attempts_total counter
        comfreypath_attempts_total{outcome="Answered"} 2.0
        # HELP comfreypath_configuration_version Configuration version in force.
        # TYPE comfreypath_configuration_version gauge
        comfreypath_configuration_version 18.0
        # HELP comfreypath_connections_refused_total Connections over the maximum.
        # TYPE comfreypath_connections_refused_total counter
        comfreypath_connections_refused_total 8.0
        # HELP comfreypath_control_bytes_total Control traffic.
        # TYPE comfreypath_control_bytes_total counter
        comfreypath_control_bytes_total{direction="sent"} 3.0
        # HELP comfreypath_crashes_observed_total Crashes of endpoints observed.
        # TYPE comfreypath_crashes_observed_total counter
        comfreypath_crashes_observed_total 8.0
        # HELP comfreypath_data_centre_outages_total Data centres left out as unreachable.
        # TYPE comfreypath_data_centre_outages_total counter
        comfreypath_data_centre_outages_total{data_centre="south"} 16.0
        # HELP comfreypath_endpoint_announcements_total Announcements of endpoints.
        # TYPE comfreypath_endpoint_announcements_total counter
        comfreypath_endpoint_announcements_total{kind="pause"} 13.0
        # HELP comfreypath_endpoints_limited Endpoints that limit their request rate.
        # TYPE comfreypath_endpoints_limited gauge
        comfreypath_endpoints_limited 15.0
        # HELP comfreypath_endpoints_out Endpoints out by announcement.
        # TYPE comfreypath_endpoints_out gauge
        comfreypath_endpoints_out{state="leaving"} 1.0
        # HELP comfreypath_in_progress Requests in progress.
        # TYPE comfreypath_in_progress gauge
        comfreypath_in_progress 4.0
        # HELP comfreypath_internal_refused_total Refusals not of callers.
        # TYPE comfreypath_internal_refused_total counter
        comfreypath_internal_refused_total{listener="peers",reason="connection"} 17.0
        # HELP comfreypath_latency_seconds Time from a request's arrival to its answer or first event.
        # TYPE comfreypath_latency_seconds histogram
        comfreypath_latency_seconds_bucket{kind="idempotent",le="0.002"} 0
        comfreypath_latency_seconds_bucket{kind="idempotent",le="0.004"} 0
        comfreypath_latency_seconds_bucket{kind="idempotent",le="0.008"} 0
        comfreypath_latency_seconds_bucket{kind="idempotent",le="0.016"} 0
        comfreypath_latency_seconds_bucket{kind="idempotent",le="0.032"} 0
        comfreypath_latency_seconds_bucket{kind="idempotent",le="0.064"} 0
        comfreypath_latency_seconds_bucket{kind="idempotent",le="0.128"} 0
        comfreypath_latency_seconds_bucket{kind="idempotent",le="0.256"} 1
        comfreypath_latency_seconds_bucket{kind="idempotent",le="0.512"} 1
        comfreypath_latency_seconds_bucket{kind="idempotent",le="1.024"} 1
        comfreypath_latency_seconds_bucket{kind="idempotent",le="2.048"} 1
        comfreypath_latency_seconds_bucket{kind="idempotent",le="4.096"} 1
        comfreypath_latency_seconds_bucket{kind="idempotent",le="8.192"} 1
        comfreypath_latency_seconds_bucket{kind="idempotent",le="16.384"} 1
        comfreypath_latency_seconds_bucket{kind="idempotent",le="+Inf"} 1
        comfreypath_latency_seconds_count{kind="idempotent"} 1
        comfreypath_latency_seconds_sum{kind="idempotent"} 0.25
        # HELP comfreypath_peer_messages_dropped_total Messages of peers dropped.
        # TYPE comfreypath_peer_messages_dropped_total counter
        comfreypath_peer_messages_dropped_total{reason="unreadable"} 18.0
        # HELP comfreypath_quarantined_parts Prompt parts quarantined.
        # TYPE comfreypath_quarantined_parts gauge
        comfreypath_quarantined_parts 9.0
        # HELP comfreypath_refused_total Requests refused.
        # TYPE comfreypath_refused_total counter
        comfreypath_refused_total{code="overloaded"} 5.0
        # HELP comfreypath_requests_read_total Requests read completely.
        # TYPE comfreypath_requests_read_total counter
        comfreypath_requests_read_total 9.0
        # HELP comfreypath_requests_unanswered_total Requests read without a complete response.
        # TYPE comfreypath_requests_unanswered_total counter
        comfreypath_requests_unanswered_total{reason="client_closed"} 10.0
        # HELP comfreypath_responses_written_total Responses written completely.
        # TYPE comfreypath_responses_written_total counter
        comfreypath_responses_written_total 11.0
        # HELP comfreypath_rollout_held Target version is held as bad.
        # TYPE comfreypath_rollout_held gauge
        comfreypath_rollout_held{service="model"} 1.0
        # HELP comfreypath_rollout_requests_total Requests during rollouts.
        # TYPE comfreypath_rollout_requests_total counter
        comfreypath_rollout_requests_total{service="model",target="true"} 8.0
        # HELP comfreypath_room_refused_total Requests refused as room is too small.
        # TYPE comfreypath_room_refused_total counter
        comfreypath_room_refused_total{reason="over_share",route="r-1"} 17.0
        # HELP comfreypath_store_answers_of_earlier_eras_total Answers of earlier eras of the store.
        # TYPE comfreypath_store_answers_of_earlier_eras_total counter
        comfreypath_store_answers_of_earlier_eras_total 19.0
        # HELP comfreypath_store_calls_total Calls to the store.
        # TYPE comfreypath_store_calls_total counter
        comfreypath_store_calls_total{kind="endpoints",outcome="answered",verb="list"} 6.0
        # HELP comfreypath_store_era Era of the store.
        # TYPE comfreypath_store_era gauge
        comfreypath_store_era 2.0
        # HELP comfreypath_task_failures_total Background tasks failed.
        # TYPE comfreypath_task_failures_total counter
        comfreypath_task_failures_total{task="sweep"} 8.0
        # HELP comfreypath_violations_total Invariants violated.
        # TYPE comfreypath_violations_total counter
        comfreypath_violations_total{invariant="at_most_once"} 7.0
    """.trimIndent() + "\n"

    @Test
    fun `metrics have these names, labels and help texts`() {
        val metrics = RouterMetrics()
        metrics.allEndpointsOut.labelValues("r-1").inc(12)
        metrics.allEndpointsLimited.labelValues("r-1").inc(14)
        metrics.endpointsLimited.set(15.0)
        metrics.dataCentreOutages.labelValues("south").inc(16)
        metrics.roomRefused.labelValues("r-1", "over_share").inc(17)
        metrics.storeEra.set(2.0)
        metrics.storeAnswersOfEarlierEras.inc(19)
        metrics.announcements.labelValues("pause").inc(13)
        metrics.endpointsOut.labelValues("leaving").set(1.0)
        metrics.answered.labelValues("streaming", "200").inc()
        metrics.attempts.labelValues("Answered").inc(2)
        metrics.controlBytes.labelValues("sent").inc(3)
        metrics.refused.labelValues("overloaded").inc(5)
        metrics.rolloutHeld.labelValues("model").set(1.0)
        metrics.rolloutRequests.labelValues("model", "true").inc(8)
        metrics.storeCalls.labelValues("list", "endpoints", "answered").inc(6)
        metrics.violations.labelValues("at_most_once").inc(7)
        metrics.connectionsRefused.inc(8)
        metrics.internalRefused.labelValues("peers", "connection").inc(17)
        metrics.peerMessagesDropped.labelValues("unreadable").inc(18)
        metrics.requestsRead.inc(9)
        metrics.requestsUnanswered.labelValues("client_closed").inc(10)
        metrics.responsesWritten.inc(11)
        metrics.taskFailures.labelValues("sweep").inc(8)
        metrics.inProgress.set(4.0)
        metrics.crashesObserved.inc(8)
        metrics.quarantinedParts.set(9.0)
        metrics.configurationVersion.set(18.0)
        metrics.latency.labelValues("idempotent").observe(0.25)
        expectThat(metrics.prometheusText().decodeToString()).isEqualTo(expected)
    }
}

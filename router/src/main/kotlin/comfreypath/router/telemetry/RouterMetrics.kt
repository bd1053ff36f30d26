package comfreypath.router.telemetry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

private const val FIRST_BUCKET_SECONDS = 0.002
private const val BUCKET_FACTOR = 2.0
private const val BUCKET_COUNT = 14

/**
 * The metrics of one router, for Prometheus.
 *
 * They keep no exemplars: the text format has none, and sampling them costs a thread and a timer for each metric.
 */
class RouterMetrics {
    private val registry = PrometheusRegistry()

    /** Requests answered by an endpoint, by the route's kind and the status. */
    val answered: Counter = counter("comfreypath_answered_total", "Requests answered.", "kind", "status")

    /** Requests refused or failed by the router, by code. */
    val refused: Counter = counter("comfreypath_refused_total", "Requests refused.", "code")

    /** Requests rejected before they were read completely, by reason. */
    val requestsRejected: Counter =
        counter("comfreypath_requests_rejected_total", "Requests rejected before they were read.", "reason")

    /** Requests that were read completely; each is also counted as a response written or a request unanswered. */
    val requestsRead: Counter = counter("comfreypath_requests_read_total", "Requests read completely.")

    /** Responses that were written completely. */
    val responsesWritten: Counter = counter("comfreypath_responses_written_total", "Responses written completely.")

    /** Requests that were read completely and have no complete response, by reason. */
    val requestsUnanswered: Counter =
        counter("comfreypath_requests_unanswered_total", "Requests read without a complete response.", "reason")

    /** Connections of callers that were closed at once because too many were open. */
    val connectionsRefused: Counter =
        counter("comfreypath_connections_refused_total", "Connections over the maximum.")

    /**
     * Requests and connections refused at the addresses that are not for callers, by address (`readiness`, `peers` or
     * `metrics`) and reason: `connection`, or why a request was rejected before it was read.
     */
    val internalRefused: Counter =
        counter("comfreypath_internal_refused_total", "Refusals not of callers.", "listener", "reason")

    /** Messages of peers that were dropped, by reason: `unreadable`, `unknown` sender, or `out_of_memory`. */
    val peerMessagesDropped: Counter =
        counter("comfreypath_peer_messages_dropped_total", "Messages of peers dropped.", "reason")

    /** Attempts at endpoints, by outcome. */
    val attempts: Counter = counter("comfreypath_attempts_total", "Attempts at endpoints.", "outcome")

    /**
     * Announcements by kind: `leaving`, `pause`, `rate_limit`, one of the last two or `load` after `unreadable_`, or
     * `pace_jump` for a duration of work that is far from the expected one.
     */
    val announcements: Counter =
        counter("comfreypath_endpoint_announcements_total", "Announcements of endpoints.", "kind")

    /** Endpoints that get no new requests because of what they announced, by state: `leaving` or `paused`. */
    val endpointsOut: Gauge = gauge("comfreypath_endpoints_out", "Endpoints out by announcement.", "state")

    /** Requests refused because every endpoint of their service pauses or leaves, by route. */
    val allEndpointsOut: Counter =
        counter("comfreypath_all_endpoints_out_total", "Requests refused as all endpoints pause or leave.", "route")

    /** Endpoints that have named the request rate which they take from all routers. */
    val endpointsLimited: Gauge = gauge("comfreypath_endpoints_limited", "Endpoints that limit their request rate.")

    /** Requests refused because the room at their service is too small, by route and reason. */
    val roomRefused: Counter =
        counter("comfreypath_room_refused_total", "Requests refused as room is too small.", "route", "reason")

    /** Requests refused because the rates of all endpoints that could take them were used up, by route. */
    val allEndpointsLimited: Counter =
        counter("comfreypath_all_endpoints_limited_total", "Requests refused as endpoints limit their rate.", "route")

    /** Data centres that were left out since none of their endpoints responded. */
    val dataCentreOutages: Counter =
        counter("comfreypath_data_centre_outages_total", "Data centres left out as unreachable.", "data_centre")

    /** Calls to the platform's store, by verb, kind and outcome. */
    val storeCalls: Counter = counter("comfreypath_store_calls_total", "Calls to the store.", "verb", "kind", "outcome")

    /** The era of the store, which rises each time that it comes back from a copy; 0 if it names none. */
    val storeEra: Gauge = gauge("comfreypath_store_era", "Era of the store.")

    /** Answers of the store that were ignored, since an answer of a later era had come before. */
    val storeAnswersOfEarlierEras: Counter =
        counter("comfreypath_store_answers_of_earlier_eras_total", "Answers of earlier eras of the store.")

    /** Bytes of status messages between routers, without UDP and IP headers, by direction. */
    val controlBytes: Counter = counter("comfreypath_control_bytes_total", "Control traffic.", "direction")

    /** Violations of invariants, by invariant. */
    val violations: Counter = counter("comfreypath_violations_total", "Invariants violated.", "invariant")

    /** Failures of background tasks, by task. */
    val taskFailures: Counter = counter("comfreypath_task_failures_total", "Background tasks failed.", "task")

    /** Requests of services that are being rolled out, by service and by whether they went to the target version. */
    val rolloutRequests: Counter =
        counter("comfreypath_rollout_requests_total", "Requests during rollouts.", "service", "target")

    /** 1 while the target version of a service's rollout is held as bad, else 0. */
    val rolloutHeld: Gauge = gauge("comfreypath_rollout_held", "Target version is held as bad.", "service")

    /** Crashes of endpoints with requests in flight that have a prompt. */
    val crashesObserved: Counter = counter("comfreypath_crashes_observed_total", "Crashes of endpoints observed.")

    /** Prompt parts that are quarantined because they crash endpoints. */
    val quarantinedParts: Gauge = gauge("comfreypath_quarantined_parts", "Prompt parts quarantined.")

    /** Requests in progress. */
    val inProgress: Gauge = gauge("comfreypath_in_progress", "Requests in progress.")

    /** The configuration version in force. */
    val configurationVersion: Gauge = gauge("comfreypath_configuration_version", "Configuration version in force.")

    /** Seconds from a request's arrival to its response, or to a stream's first event. */
    val latency: Histogram = Histogram.builder()
        .name("comfreypath_latency_seconds")
        .help("Time from a request's arrival to its answer or first event.")
        .labelNames("kind")
        .withoutExemplars()
        .classicOnly()
        .classicExponentialUpperBounds(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT)
        .register(registry)

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).withoutExemplars().also { it.labelNames(*labels) }.register(registry)

    private fun gauge(name: String, help: String, vararg labels: String): Gauge =
        Gauge.builder().name(name).help(help).withoutExemplars().also { it.labelNames(*labels) }.register(registry)

    /** The bytes of control traffic so far, sent and received. */
    fun controlBytesTotal(): Long = controlBytes.collect().dataPoints.sumOf { it.value.toLong() }

    /** The metrics in Prometheus' text format. */
    fun prometheusText(): ByteArray {
        val bytes = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(bytes, registry.scrape())
        return bytes.toByteArray()
    }
}

package comfreypath.daemon.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import comfreypath.coordination.limits.RetryBounds
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.coordination.rollout.RolloutBounds
import comfreypath.router.RouterOptions
import comfreypath.router.RouterTimeouts
import comfreypath.router.ServiceBounds
import comfreypath.transport.Address
import java.time.Duration

private val UNSPECIFIED_ADDRESS = Address("0.0.0.0", 0)
private val MAX_DURATION: Duration = Duration.ofMinutes(1)
private const val MAX_RETRY_SHARE = 10.0
private const val MAX_RETRY_SLACK = 1_000_000.0
private const val MAX_ROLLOUT_SLACK = 1_000_000.0
private val ROLLOUT_SHARE_RANGE = 0.0..1.0
private val ROLLOUT_SLACK_RANGE = 0.0..MAX_ROLLOUT_SLACK
private val RETRY_SHARE_RANGE = 0.0..MAX_RETRY_SHARE
private val RETRY_SLACK_RANGE = 0.0..MAX_RETRY_SLACK

/** HTTP interface between callers, routers and endpoints. */
enum class CallerInterface {
    /** OpenAI-style chat completions, and plain services addressed by name. */
    OPENAI,

    /** The interface of the users' platform. */
    PLATFORM,
}

/** Definitions of all settings of the `router` command, and their conversion to [RouterOptions]. */
object RouterSettings {
    private val defaultBounds = ServiceBounds()
    private val defaultTimeouts = RouterTimeouts()
    private val name = Setting.text("name", "the instance's name, unique in the fleet")
    private val dataCentre = Setting.text("data-centre", "the data centre of the instance")
    private val listen = Setting.address("listen", "the address that accepts callers' requests")
    private val readinessListen = Setting.address("readiness-listen", "the address of the readiness check")
    private val peerListen = Setting.address("peer-listen", "the address that receives datagrams from other routers")
    private val metricsListen = Setting.address("metrics-listen", "the address that serves metrics")
    private val objectStore = Setting.address("object-store", "the address of the platform's object store")
    private val revocationBound = Setting.duration(
        "revocation-bound",
        "the time after which a revoked key is no longer accepted",
        defaultBounds.revocation,
        MAX_DURATION,
    )

    private val grace = Setting.duration(
        "grace",
        "the time from SIGTERM until the platform kills the process",
        defaultTimeouts.grace,
        MAX_DURATION,
    )
    private val peers = Setting.addresses("peers", "routers to contact at start, in addition to those in the store")
    private val callerInterface = Setting.choice(
        "interface",
        "the HTTP interface of callers and endpoints",
        CallerInterface.OPENAI.name.lowercase(),
        CallerInterface.entries.associateBy { it.name.lowercase() },
    )
    private val traceCollector = Setting.optionalText("trace-collector", "the URL that receives spans over OTLP")

    private val configurationBound = Setting.duration(
        "configuration-bound",
        "the time after which an accepted configuration is in force",
        defaultBounds.configuration,
        MAX_DURATION,
    )
    private val retryShare = Setting.decimal(
        name = "retry-share",
        description = "the retries that the fleet may send to a service per request",
        unit = "retries",
        default = defaultBounds.retries.share,
        range = RETRY_SHARE_RANGE,
    )
    private val retrySlack = Setting.decimal(
        name = "retry-slack",
        description = "the retries that the fleet may send to a service per window in addition to that share",
        unit = "retries",
        default = defaultBounds.retries.slack,
        range = RETRY_SLACK_RANGE,
    )
    private val retryWindow = Setting.duration(
        "retry-window",
        "the window in which retries are counted",
        defaultBounds.retries.window,
        MAX_DURATION,
    )

    private val rolloutShare = Setting.decimal(
        name = "rollout-share",
        description = "the fraction of a service's requests that a bad version may receive during its rollout",
        unit = "fraction",
        default = defaultBounds.rollouts.share,
        range = ROLLOUT_SHARE_RANGE,
    )
    private val rolloutSlack = Setting.decimal(
        name = "rollout-slack",
        description = "the requests that a bad version may receive during its rollout in addition to that share",
        unit = "requests",
        default = defaultBounds.rollouts.slack,
        range = ROLLOUT_SLACK_RANGE,
    )

    /** The operators' bounds, which a deployment may leave out. */
    private val boundSettings: List<Setting<*>> = listOf(
        grace,
        configurationBound,
        revocationBound,
        retryShare,
        retrySlack,
        retryWindow,
        rolloutShare,
        rolloutSlack,
    )

    /** All settings, in the order of the help text. */
    val all: List<Setting<*>> = listOf(
        name,
        dataCentre,
        callerInterface,
        listen,
        readinessListen,
        peerListen,
        metricsListen,
        objectStore,
        peers,
        traceCollector,
    ) + boundSettings

    /** The operators' bounds that [raw] does not set and whose defaults apply, by setting name. */
    private fun defaultedBounds(raw: RawSettings): Map<String, String> =
        boundSettings.filterNot { raw.isSet(it) }.associate { it.name to it.default.orEmpty() }

    /** Returns the interface that [raw] selects; [CallerInterface.OPENAI] if the value is invalid. */
    fun callerInterface(raw: RawSettings): CallerInterface = raw.valueOf(callerInterface, CallerInterface.OPENAI)

    private fun bounds(raw: RawSettings) = ServiceBounds(
        configuration = raw.valueOf(configurationBound, defaultBounds.configuration),
        revocation = raw.valueOf(revocationBound, defaultBounds.revocation),
        retries = RetryBounds(
            share = raw.valueOf(retryShare, defaultBounds.retries.share),
            slack = raw.valueOf(retrySlack, defaultBounds.retries.slack),
            window = raw.valueOf(retryWindow, defaultBounds.retries.window),
        ),
        rollouts = RolloutBounds(
            share = raw.valueOf(rolloutShare, defaultBounds.rollouts.share),
            slack = raw.valueOf(rolloutSlack, defaultBounds.rollouts.slack),
        ),
    )

    /** Converts [raw] to options; the error names the first invalid setting, its value and the valid values. */
    fun options(raw: RawSettings): Result<RouterOptions, String> {
        // Called only to record an error if the interface is invalid; the options do not contain the interface.
        callerInterface(raw)
        val options = RouterOptions(
            name = InstanceName(raw.valueOf(name, "")),
            dataCentre = DataCentreName(raw.valueOf(dataCentre, "")),
            callerAddress = raw.valueOf(listen, UNSPECIFIED_ADDRESS),
            readinessAddress = raw.valueOf(readinessListen, UNSPECIFIED_ADDRESS),
            peerAddress = raw.valueOf(peerListen, UNSPECIFIED_ADDRESS),
            metricsAddress = raw.valueOf(metricsListen, UNSPECIFIED_ADDRESS),
            objectStore = raw.valueOf(objectStore, UNSPECIFIED_ADDRESS),
            peers = raw.valueOf(peers, emptyList()),
            timeouts = defaultTimeouts.copy(grace = raw.valueOf(grace, defaultTimeouts.grace)),
            traceCollector = raw.valueOf(traceCollector, "").ifEmpty { null },
            bounds = bounds(raw),
            defaultedBounds = defaultedBounds(raw),
        )
        return raw.firstError?.let { Err(it) } ?: Ok(options)
    }
}

package comfreypath.daemon.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import comfreypath.coordination.limits.RetryBounds
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.InstanceName
import comfreypath.router.RouterOptions
import comfreypath.router.RouterTimeouts
import comfreypath.router.ServiceBounds
import comfreypath.transport.Address
import java.time.Duration

private val NOWHERE = Address("0.0.0.0", 0)
private val MINUTE: Duration = Duration.ofMinutes(1)
private const val MOST_SHARE = 10.0
private const val MOST_SLACK = 1_000_000.0
private val SHARE_RANGE = 0.0..MOST_SHARE
private val SLACK_RANGE = 0.0..MOST_SLACK

/** What callers and endpoints speak. */
enum class CallerInterface {
    /** Chat completions after the OpenAI API, and plain services by name. */
    OPENAI,

    /** The users' platform. */
    PLATFORM,
}

/** The settings of a router. */
object RouterSettings {
    private val bounds = ServiceBounds()
    private val timeouts = RouterTimeouts()
    private val name = Setting.text("name", "the instance's name, unique in the fleet")
    private val dataCentre = Setting.text("data-centre", "the data centre in which the instance stands")
    private val listen = Setting.address("listen", "where callers' requests arrive")
    private val readiness = Setting.address("readiness-listen", "where the platform asks whether the router is ready")
    private val peer = Setting.address("peer-listen", "where datagrams of other routers arrive")
    private val metrics = Setting.address("metrics-listen", "where metrics are served")
    private val objectStore = Setting.address("object-store", "the platform's object store")
    private val revocation = Setting.duration(
        "revocation-bound",
        "the time after which a key that was taken away is used no more",
        bounds.revocation,
        MINUTE,
    )

    private val grace = Setting.duration(
        "grace",
        "the time from SIGTERM until the platform kills the process",
        timeouts.grace,
        MINUTE,
    )
    private val peers = Setting.addresses("peers", "routers to greet at the start, beside those that the store lists")
    private val spoken = Setting.choice(
        "interface",
        "what callers and endpoints speak",
        CallerInterface.OPENAI.name.lowercase(),
        CallerInterface.entries.associateBy { it.name.lowercase() },
    )
    private val collector = Setting.optionalText("trace-collector", "the URL to which spans are sent over OTLP")

    private val configurationBound = Setting.duration(
        "configuration-bound",
        "the time after which an accepted configuration is in force",
        bounds.configuration,
        MINUTE,
    )
    private val retryShare = Setting.decimal(
        name = "retry-share",
        description = "the retries that the fleet may send to a service for each request",
        unit = "retries",
        default = bounds.retries.share,
        range = SHARE_RANGE,
    )
    private val retrySlack = Setting.decimal(
        name = "retry-slack",
        description = "the retries that the fleet may send to a service in one window beside that share",
        unit = "retries",
        default = bounds.retries.slack,
        range = SLACK_RANGE,
    )
    private val retryWindow =
        Setting.duration("retry-window", "the time in which retries are counted", bounds.retries.window, MINUTE)

    /** Every setting, in the order of the help text. */
    val all: List<Setting<*>> = listOf(
        name,
        dataCentre,
        spoken,
        listen,
        readiness,
        peer,
        metrics,
        objectStore,
        peers,
        collector,
        grace,
        configurationBound,
        revocation,
        retryShare,
        retrySlack,
        retryWindow,
    )

    /** What callers and endpoints speak, as [given] says. */
    fun callerInterface(given: RawSettings): CallerInterface = given.valueOf(spoken, CallerInterface.OPENAI)

    private fun bounds(given: RawSettings) = ServiceBounds(
        configuration = given.valueOf(configurationBound, bounds.configuration),
        revocation = given.valueOf(revocation, bounds.revocation),
        retries = RetryBounds(
            share = given.valueOf(retryShare, bounds.retries.share),
            slack = given.valueOf(retrySlack, bounds.retries.slack),
            window = given.valueOf(retryWindow, bounds.retries.window),
        ),
    )

    /** The options that [given] make; the error names the first wrong setting, its value and what is allowed. */
    fun options(given: RawSettings): Result<RouterOptions, String> {
        callerInterface(given)
        val options = RouterOptions(
            name = InstanceName(given.valueOf(name, "")),
            dataCentre = DataCentreName(given.valueOf(dataCentre, "")),
            callerAddress = given.valueOf(listen, NOWHERE),
            readinessAddress = given.valueOf(readiness, NOWHERE),
            peerAddress = given.valueOf(peer, NOWHERE),
            metricsAddress = given.valueOf(metrics, NOWHERE),
            objectStore = given.valueOf(objectStore, NOWHERE),
            peers = given.valueOf(peers, emptyList()),
            timeouts = timeouts.copy(grace = given.valueOf(grace, timeouts.grace)),
            traceCollector = given.valueOf(collector, "").ifEmpty { null },
            bounds = bounds(given),
        )
        return given.firstError?.let { Err(it) } ?: Ok(options)
    }
}

package comfreypath.router

import comfreypath.router.request.CallerDialect
import comfreypath.router.request.Refusal
import comfreypath.router.request.RefusalCode
import comfreypath.router.view.ClusterView
import comfreypath.transport.HttpServerOptions

/** The limits on what callers may send, as the configuration in force says. */
internal class CallerServerOptions(
    private val connections: () -> Int,
    private val view: ClusterView,
    dialect: CallerDialect,
) {
    private val defaults = HttpServerOptions(
        rejectionBody = { dialect.encode(Refusal(RefusalCode.BAD_INPUT, it.detail), null).body },
    )

    /** The limits for a connection that opens now. */
    fun current(): HttpServerOptions = view.configuration.current?.value?.limits?.let { limits ->
        defaults.copy(
            maxConnections = connections(),
            maxHeaderBytes = limits.headerBytes,
            maxBodyBytes = limits.bodyBytes,
            receiveTimeout = limits.headerTimeout,
            idleTimeout = limits.idleTimeout,
        )
    } ?: defaults.copy(maxConnections = connections())
}

package comfreypath.router

import comfreypath.router.request.CallerDialect
import comfreypath.router.request.Refusal
import comfreypath.router.request.RefusalCode
import comfreypath.router.view.ClusterView
import comfreypath.transport.HttpRejection
import comfreypath.transport.HttpServerOptions

/** Derives the limits of the server for callers from the configuration in force. */
internal class CallerServerOptions(
    private val maxConnections: () -> Int,
    private val view: ClusterView,
    dialect: CallerDialect,
) {
    private val defaults = HttpServerOptions(
        rejectionBody = { rejection ->
            val code = if (rejection == HttpRejection.OUT_OF_MEMORY) RefusalCode.OVERLOADED else RefusalCode.BAD_INPUT
            dialect.encode(Refusal(code, rejection.detail), null).body
        },
    )

    /** The limits in force; defaults while no configuration is known. */
    fun current(): HttpServerOptions = view.configuration.current?.value?.limits?.let { limits ->
        defaults.copy(
            maxConnections = maxConnections(),
            maxHeaderBytes = limits.maxHeaderBytes,
            maxBodyBytes = limits.maxBodyBytes,
            receiveTimeout = limits.headerTimeout,
            idleTimeout = limits.idleTimeout,
        )
    } ?: defaults.copy(maxConnections = maxConnections())
}

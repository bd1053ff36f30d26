package comfreypath.router.telemetry

/** The name of W3C's header that passes a trace on. */
const val TRACE_PARENT = "traceparent"

/** Makes a span for each hop of a request. */
interface Tracing {
    /** Starts the span of a hop whose caller sent [traceParent], or of a new trace when it sent none. */
    fun start(name: String, traceParent: String?): HopSpan

    /** Sends the spans that wait, and stops. */
    fun stop()

    companion object {
        /** Makes no spans; what a caller sent is passed on as it is. */
        val NONE: Tracing = object : Tracing {
            override fun start(name: String, traceParent: String?): HopSpan = NoSpan(traceParent)
            override fun stop() = Unit
        }
    }
}

/** The span of one hop. */
interface HopSpan {
    /** The header that passes the trace on to the next hop; null if there is no trace. */
    val traceParent: String?

    /** Notes a fact on the span. */
    fun setAttribute(name: String, value: String)

    /** Ends the span. */
    fun end(succeeded: Boolean)
}

private class NoSpan(override val traceParent: String?) : HopSpan {
    override fun setAttribute(name: String, value: String) = Unit
    override fun end(succeeded: Boolean) = Unit
}

package comfreypath.router.telemetry

/** The W3C Trace Context header that carries the trace and the parent span. */
const val TRACE_PARENT = "traceparent"

/** Traces requests, with one span for each hop. */
interface Tracing {
    /** Starts a span as a child of [traceParent], or as the root of a new trace if that is null. */
    fun start(name: String, traceParent: String?): HopSpan

    /** Exports the pending spans and shuts down. */
    fun stop()

    companion object {
        /** Creates no spans; the caller's `traceparent` is passed on unchanged. */
        val NONE: Tracing = object : Tracing {
            override fun start(name: String, traceParent: String?): HopSpan = PassThroughSpan(traceParent)
            override fun stop() = Unit
        }
    }
}

/** The span of one hop. */
interface HopSpan {
    /** The `traceparent` header for the next hop; null if there is no trace. */
    val traceParent: String?

    /** Sets an attribute of the span. */
    fun setAttribute(name: String, value: String)

    /** Ends the span and sets its status. */
    fun end(succeeded: Boolean)
}

private class PassThroughSpan(override val traceParent: String?) : HopSpan {
    override fun setAttribute(name: String, value: String) = Unit
    override fun end(succeeded: Boolean) = Unit
}

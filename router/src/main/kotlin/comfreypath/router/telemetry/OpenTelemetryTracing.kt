package comfreypath.router.telemetry

import comfreypath.coordination.model.InstanceName
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.SpanProcessor
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor

/**
 * Records spans with OpenTelemetry. Its classes are loaded only if a collector is configured, because they cost memory
 * and startup time on a small instance.
 *
 * @param processor receives the spans that have ended
 */
class OpenTelemetryTracing(instance: InstanceName, processor: SpanProcessor) : Tracing {
    private val provider = SdkTracerProvider.builder()
        .setResource(Resource.create(Attributes.builder().put("service.instance.id", instance.text).build()))
        .addSpanProcessor(processor)
        .build()
    private val tracer = provider.get("comfreypath")

    override fun start(name: String, traceParent: String?): HopSpan {
        val parent = W3CTraceContextPropagator.getInstance()
            .extract(Context.root(), traceParent.orEmpty(), TraceParentGetter)
        return OpenTelemetrySpan(tracer.spanBuilder(name).setParent(parent).setSpanKind(SpanKind.SERVER).startSpan())
    }

    override fun stop() {
        provider.shutdown()
    }

    companion object {
        /** Exports spans to the endpoint [collector] over OTLP. */
        fun exportingTo(collector: String, instance: InstanceName): Tracing {
            val exporter = OtlpHttpSpanExporter.builder().setEndpoint(collector).build()
            return OpenTelemetryTracing(instance, BatchSpanProcessor.builder(exporter).build())
        }
    }
}

private class OpenTelemetrySpan(private val span: Span) : HopSpan {
    override val traceParent: String?
        get() {
            val carrier = HashMap<String, String>()
            W3CTraceContextPropagator.getInstance().inject(Context.root().with(span), carrier) { map, name, value ->
                map?.put(name, value)
            }
            return carrier[TRACE_PARENT]
        }

    override fun setAttribute(name: String, value: String) {
        span.setAttribute(name, value)
    }

    override fun end(succeeded: Boolean) {
        span.setStatus(if (succeeded) StatusCode.OK else StatusCode.ERROR)
        span.end()
    }
}

private object TraceParentGetter : TextMapGetter<String> {
    @Deprecated("Deprecated in TextMapGetter")
    override fun keys(carrier: String): MutableIterable<String> = mutableListOf(TRACE_PARENT)
    override fun get(carrier: String?, key: String): String? = carrier.takeIf { key == TRACE_PARENT }
}

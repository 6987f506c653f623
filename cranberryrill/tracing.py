"""Request tracing: one trace per request, with a span for each hop."""

import logging
from collections import abc

from opentelemetry import context, trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

LOGGER = logging.getLogger(__name__)
PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
TRACEPARENT_HEADER = 'traceparent'
NANOSECONDS_PER_MILLISECOND = 1_000_000


class LogExporter(export.SpanExporter):
    """Exporter that writes each finished span as a log line."""

    def export(
        self,
        spans: abc.Sequence[sdk_trace.ReadableSpan],
    ) -> export.SpanExportResult:
        """Log the spans; this always succeeds."""
        for span in spans:
            _log_span(span)
        return export.SpanExportResult.SUCCESS


def _log_span(span: sdk_trace.ReadableSpan) -> None:
    span_context = span.get_span_context()
    parent = span.parent
    elapsed_ns = (span.end_time or 0) - (span.start_time or 0)
    LOGGER.info(
        'span',
        extra={
            'span': span.name,
            'trace_id': format(span_context.trace_id, '032x')
            if span_context
            else '',
            'span_id': format(span_context.span_id, '016x')
            if span_context
            else '',
            'parent_id': format(parent.span_id, '016x') if parent else '',
            'elapsed_ms': elapsed_ns / NANOSECONDS_PER_MILLISECOND,
            **(span.attributes or {}),
        },
    )


def configure(process: str, logs_spans: bool) -> None:
    """Set up tracing in this process.

    If `logs_spans` is false, no span is logged, but trace ids are still passed
    to the next hop.
    """
    provider = sdk_trace.TracerProvider(
        resource=resources.Resource.create({'service.name': process}),
    )
    if logs_spans:
        provider.add_span_processor(export.SimpleSpanProcessor(LogExporter()))
    trace.set_tracer_provider(provider)


def start(name: str, traceparent: str, request_id: str) -> trace.Span:
    """Start a span whose parent is the one in `traceparent`.

    It starts a new trace when `traceparent` is empty.
    """
    parent = context.Context()
    if traceparent:
        parent = PROPAGATOR.extract(
            {TRACEPARENT_HEADER: traceparent}, context=parent
        )
    return trace.get_tracer(__name__).start_span(
        name,
        context=parent,
        attributes={'request_id': request_id},
    )


def traceparent_of(span: trace.Span) -> str:
    """Return the `traceparent` header value with `span` as the parent."""
    headers: dict[str, str] = {}
    PROPAGATOR.inject(headers, context=trace.set_span_in_context(span))
    return headers.get(TRACEPARENT_HEADER, '')

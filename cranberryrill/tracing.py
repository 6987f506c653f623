"""Trace each request: one span for each hop, under one trace."""

import logging
from collections import abc

from opentelemetry import context, trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

LOGGER = logging.getLogger(__name__)
PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
HEADER = 'traceparent'
NANOSECONDS_PER_MILLISECOND = 1_000_000


class LogExporter(export.SpanExporter):
    """Write each finished span as a log line."""

    def export(
        self,
        spans: abc.Sequence[sdk_trace.ReadableSpan],
    ) -> export.SpanExportResult:
        """Log the spans."""
        for span in spans:
            _log(span)
        return export.SpanExportResult.SUCCESS


def _log(span: sdk_trace.ReadableSpan) -> None:
    identity = span.get_span_context()
    parent = span.parent
    elapsed = (span.end_time or 0) - (span.start_time or 0)
    LOGGER.info(
        'span',
        extra={
            'span': span.name,
            'trace_id': format(identity.trace_id, '032x') if identity else '',
            'span_id': format(identity.span_id, '016x') if identity else '',
            'parent_id': format(parent.span_id, '016x') if parent else '',
            'elapsed_ms': elapsed / NANOSECONDS_PER_MILLISECOND,
            **(span.attributes or {}),
        },
    )


def configure(process: str, writes_spans: bool) -> None:
    """Start tracing in this process; without spans, ids still pass on."""
    provider = sdk_trace.TracerProvider(
        resource=resources.Resource.create({'service.name': process}),
    )
    if writes_spans:
        provider.add_span_processor(export.SimpleSpanProcessor(LogExporter()))
    trace.set_tracer_provider(provider)


def start(name: str, traceparent: str, request_id: str) -> trace.Span:
    """Start a span below the hop that sent `traceparent`."""
    parent = context.Context()
    if traceparent:
        parent = PROPAGATOR.extract({HEADER: traceparent}, context=parent)
    return trace.get_tracer(__name__).start_span(
        name,
        context=parent,
        attributes={'request_id': request_id},
    )


def traceparent_of(span: trace.Span) -> str:
    """Return the header value that names `span` as the parent."""
    carrier: dict[str, str] = {}
    PROPAGATOR.inject(carrier, context=trace.set_span_in_context(span))
    return carrier.get(HEADER, '')

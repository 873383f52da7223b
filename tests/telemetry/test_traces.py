"""The trace context is propagated, and sampled spans are recorded."""

import json

import pytest

from bitternlever.messages import telemetry
from bitternlever.telemetry import traces

TRACE = "0af7651916cd43dd8448eb211c80319c"
SAMPLED = f"00-{TRACE}-b7ad6b7169203331-01"


def create_tracer(spans_file="", trace_ratio=1.0):
    return traces.create("entry", "a", 1_000, 0, None, str(spans_file), trace_ratio)


def recorded_spans(path):
    return [json.loads(line) for line in path.read_text().splitlines()]


def test_a_trace_context_is_propagated_without_any_export():
    with create_tracer().server_call("GET /", SAMPLED) as span:
        assert TRACE in span.traceparent


def test_a_span_of_the_core_belongs_to_the_trace_of_its_caller(tmp_path):
    spans_file = tmp_path / "spans"
    tracer = create_tracer(spans_file)
    with tracer.server_call("POST /", SAMPLED) as span:
        tracer.record_span(
            telemetry.SpanFinished(
                traceparent=span.traceparent,
                name="admission wait",
                start_s=1.0,
                end_s=1.5,
            ),
        )
    tracer.shutdown()

    inner, outer = recorded_spans(spans_file)
    assert inner["context"]["trace_id"] == "0x" + TRACE
    assert inner["parent_id"] == outer["context"]["span_id"]


@pytest.mark.parametrize(("ratio", "spans"), [(0.0, 0), (1.0, 1)])
def test_the_ratio_applies_where_the_caller_has_not_decided(tmp_path, ratio, spans):
    spans_file = tmp_path / "spans"
    tracer = create_tracer(spans_file, ratio)
    with tracer.server_call("POST /", None):
        pass
    tracer.shutdown()

    assert len(recorded_spans(spans_file)) == spans

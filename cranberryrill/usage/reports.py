"""Encode the report of a sealed window for the platform.

The bytes are the same each time, so a report can be resent.
"""

import json

from cranberryrill.usage import usage_pb2

PATH = '/v1/usage/windows'


def idempotency_key(window: usage_pb2.Window) -> str:
    """Return the idempotency key of a window's report."""
    return f'window-{window.number}'


def encode_report(window: usage_pb2.Window) -> bytes:
    """Return the report as JSON with sorted keys and no whitespace."""
    content = {
        'window': window.number,
        'opened_unix_ms': window.opened_unix_ms,
        'sealed_unix_ms': window.sealed_unix_ms,
        'lines': [
            {
                'organisation': line.organisation,
                'class': line.class_name,
                'target': line.target,
                'requests': line.requests,
                'prompt_tokens': line.prompt_tokens,
                'output_tokens': line.output_tokens,
            }
            for line in window.lines
        ],
    }
    return json.dumps(content, sort_keys=True, separators=(',', ':')).encode()

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Counts and logs what other programs have written and cannot be read.

Unreadable input costs its entry alone: an exception that got further would
end the thread that reads it, and with it the process.
"""

import json
import logging
import threading

from portwharf.core import bounded_cache
from portwharf.core import logs
from portwharf.platform import metrics

LOG = logging.getLogger(__name__)

# What decoders raise. JSON integers may be too large for other types, and
# bodies too deeply nested.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
MAX_REASON_CHARS = 200
# Reasons that are remembered, so that each is logged once.
_MAX_REASONS = 100


class UnreadableInput:
    """The unreadable input of one kind; thread-safe."""

    def __init__(self, kind):
        """Take the kind of input, a label of the counter."""
        self._kind = kind
        self._lock = threading.Lock()
        self._logged = bounded_cache.BoundedCache(_MAX_REASONS)

    def record(self, reason, **fields):
        """Count an input, and log it unless its reason was logged lately.

        :param reason: an exception or a text
        :param fields: further fields of the log line
        """
        metrics.UNREADABLE.labels(self._kind).inc()
        text = f'{type(reason).__name__}: {reason}'
        if isinstance(reason, str):
            text = reason
        text = text[:MAX_REASON_CHARS]
        with self._lock:
            if text in self._logged:
                return
            self._logged.put(text, True)
        extra = logs.fields(reason=text, **fields)
        LOG.warning('unreadable %s passed over', self._kind, extra=extra)


def decode_object(raw):
    """Return the JSON object that some bytes encode, as a dict.

    :raises ValueError: the bytes are not JSON, or not an object
    """
    try:
        value = json.loads(raw)
    except RecursionError as exc:
        raise ValueError('the JSON is nested too deeply') from exc
    if not isinstance(value, dict):
        raise ValueError(f'the JSON is a {type(value).__name__}, no object')
    return value

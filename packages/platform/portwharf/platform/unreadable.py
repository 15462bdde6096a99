# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Counts and logs what other programs have written and cannot be read.

Unreadable input costs its entry alone: an exception that got further would
end the thread that reads it, and with it the process.
"""

import logging
import threading

from portwharf.core import bounded_cache
from portwharf.core import logs
from portwharf.platform import metrics

LOG = logging.getLogger(__name__)

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

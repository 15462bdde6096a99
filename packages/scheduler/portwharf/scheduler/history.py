# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A bounded history of past decisions, for ``explain``."""

import collections

from portwharf.core import codec
from portwharf.core import ids
from portwharf.scheduler import events

HISTORY_BYTES = 2_000_000
# Memory that each row needs besides its encoded decision.
_ROW_OVERHEAD_BYTES = 120


class History:
    """Past decisions, oldest first, in a limited amount of memory."""

    def __init__(self, max_bytes=HISTORY_BYTES):
        self._max_bytes = max_bytes
        self._rows = collections.deque()
        self._bytes = 0

    def add(self, decision):
        """Add a decision; drop the oldest ones that exceed the limit."""
        self._add_row(decision.subject, codec.pack(decision))

    def find(self, subject):
        """Return the decisions about a subject or one of its tasks."""
        prefix = subject + ids.TASK_SEPARATOR
        return [
            codec.unpack(events.Decision, raw)
            for name, raw in self._rows
            if name == subject or name.startswith(prefix)
        ]

    def pack(self):
        """Return all decisions as a list of encoded ones."""
        return [raw for _, raw in self._rows]

    def load(self, rows):
        """Add decisions that were returned by :meth:`pack`."""
        for raw in rows:
            decision = codec.unpack(events.Decision, raw)
            self._add_row(decision.subject, raw)

    def _add_row(self, subject, raw):
        self._rows.append((subject, raw))
        self._bytes += len(raw) + _ROW_OVERHEAD_BYTES
        while self._bytes > self._max_bytes:
            _, old = self._rows.popleft()
            self._bytes -= len(old) + _ROW_OVERHEAD_BYTES

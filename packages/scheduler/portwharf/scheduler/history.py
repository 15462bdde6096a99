# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Past decisions, for ``explain``."""

import collections

from portwharf.core import codec
from portwharf.core import ids
from portwharf.scheduler import events

# Bytes of past decisions that are kept for ``explain``.
HISTORY_BYTES = 2_000_000
_ROW_OVERHEAD = 120


class History:
    """Past decisions, oldest first, within a budget of bytes."""

    def __init__(self, budget=HISTORY_BYTES):
        self._budget = budget
        self._rows = collections.deque()
        self._size = 0

    def add(self, decision):
        """Keep a decision, dropping the oldest if there is no room."""
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
        """Return all decisions, packed."""
        return [raw for _, raw in self._rows]

    def load(self, rows):
        """Take back what :meth:`pack` gave."""
        for raw in rows:
            decision = codec.unpack(events.Decision, raw)
            self._add_row(decision.subject, raw)

    def _add_row(self, subject, raw):
        self._rows.append((subject, raw))
        self._size += len(raw) + _ROW_OVERHEAD
        while self._size > self._budget:
            _, old = self._rows.popleft()
            self._size -= len(old) + _ROW_OVERHEAD

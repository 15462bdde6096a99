# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Times the parts of an owner's passes.

A pass reads what it needs, decides, appends to the log, and sends its
messages; everyone who waits for the owner waits for a whole pass. The metrics
show where passes spend their time, and a line is logged for a slow one.
"""

import logging

from portwharf.core import logs
from portwharf.scheduler import metrics

LOG = logging.getLogger(__name__)

# Passes that take longer are logged.
SLOW_PASS_SECONDS = 0.5
_MS_PER_SECOND = 1000


class PassTimer:
    """Times one pass after another.

    Used by the deciding thread alone, but for :meth:`estimate_left_seconds`.
    """

    def __init__(self, clock):
        """Take a ``clock.Clock``."""
        self._clock = clock
        self._began = self._marked = clock.read_monotonic()
        self._parts = {}
        # The time at which the pass under way has taken as long as the last
        # one, or None between passes.
        self._expected_end = None
        self._last_seconds = 0.0

    def start(self):
        """Start a pass."""
        self._began = self._marked = self._clock.read_monotonic()
        self._parts = {}
        self._expected_end = self._began + self._last_seconds

    def estimate_left_seconds(self):
        """Return how long the pass under way goes on, by the last one.

        :returns: 0 if no pass is under way, or it has taken longer than the
            last one; may be called by any thread
        """
        expected_end = self._expected_end
        if expected_end is None:
            return 0.0
        return max(0.0, expected_end - self._clock.read_monotonic())

    def mark(self, part):
        """Add the time since the last mark to a part of the pass."""
        now = self._clock.read_monotonic()
        spent = now - self._marked
        self._parts[part] = self._parts.get(part, 0.0) + spent
        self._marked = now

    def finish(self, items, events, is_typical=True):
        """Record the pass, and log it if it was slow.

        :param items: the number of items that it processed
        :param events: the number of events that it logged
        :param is_typical: whether the next one may take as long
        """
        took = self._clock.read_monotonic() - self._began
        self._expected_end = None
        if is_typical:
            self._last_seconds = took
        for part, spent in self._parts.items():
            metrics.PASS_SECONDS.labels(part).observe(spent)
        if took < SLOW_PASS_SECONDS:
            return
        parts = {
            part: int(spent * _MS_PER_SECOND)
            for part, spent in self._parts.items()
        }
        extra = logs.fields(
            took_ms=int(took * _MS_PER_SECOND),
            items=items,
            events=events,
            parts_ms=parts,
        )
        LOG.info('slow pass', extra=extra)

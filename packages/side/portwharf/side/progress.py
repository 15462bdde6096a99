# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Measures for how long attempts have worked without any progress.

The owner knows how long tasks should run and decides what follows. The side
only counts the time since an attempt's progress last changed, scaled to its
CPU share: a task at a small share is expected to progress as much slower. A
restarted side begins to count anew.
"""

import dataclasses

from portwharf.core import data
from portwharf.peers import messages

# Shorter times are not reported.
MIN_REPORTED_SECONDS = 3.0
# Time counted between two listings. A worker that is not heard for longer may
# have been suspended, with its tasks.
MAX_COUNTED_SECONDS = 1.0
# Attempts reported in one heartbeat, those without progress for longest first.
MAX_REPORTED = 50
_FULL = 100
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class _Seen:
    """One attempt, since its progress last changed.

    :param percent: its progress
    :param worked: seconds since it changed, scaled to its full share
    :param at: when it was last updated, on the monotonic clock
    :param share: its CPU share since then, in percent
    :param at_work: it is a standing task that is at work
    """

    percent: float = 0.0
    worked: float = 0.0
    at: float = 0.0
    share: int = 0
    at_work: bool = False


class ProgressTracker:
    """Tracks the progress of one worker's attempts."""

    def __init__(self):
        self._seen = {}
        # The shares that owners have set, by (task, attempt).
        self._throttled = {}

    def record_throttle(self, message):
        """Record the share that a ``messages.ThrottleTask`` sets."""
        name = (message.task, message.attempt)
        self._throttled[name] = message.percent

    def update(self, attempts, get_share, now):
        """Take the progress of attempts from a listing just read.

        :param attempts: all listed attempts, as a list of ``workers.Attempt``
        :param get_share: function from (task, attempt) to its share in percent
            until now, 0 if it is unknown
        :param now: monotonic time, in seconds
        """
        seen = {}
        for attempt in attempts:
            if attempt.state != data.RunState.RUNNING:
                continue
            name = (attempt.task, attempt.attempt)
            share = min(get_share(name), self._throttled.get(name, _FULL))
            seen[name] = self._update_attempt(name, attempt, share, now)
        self._seen = seen
        self._throttled = {
            name: percent
            for name, percent in self._throttled.items()
            if name in seen
        }

    def list_hung(self):
        """Return the ``messages.HungTask`` to report, the longest first."""
        found = [
            messages.HungTask(
                *name, int(one.percent), int(one.worked * _MS_PER_SECOND)
            )
            for name, one in self._seen.items()
            if one.worked >= MIN_REPORTED_SECONDS and not one.at_work
        ]
        found.sort(key=lambda hung: -hung.worked_ms)
        return found[:MAX_REPORTED]

    def _update_attempt(self, name, attempt, share, now):
        """Return the updated :class:`_Seen` of a running attempt."""
        at_work = (
            attempt.kind == data.Kind.STANDING and attempt.percent >= _FULL
        )
        one = self._seen.get(name)
        if one is None or one.percent != attempt.percent:
            return _Seen(attempt.percent, 0.0, now, share, at_work)
        # A share that has changed in between counts as the smaller one.
        elapsed = min(MAX_COUNTED_SECONDS, now - one.at)
        one.worked += elapsed * min(share, one.share) / _FULL
        one.at = now
        one.share = share
        one.at_work = at_work
        return one

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Estimates the run times of tasks from their progress.

The run times that clients state can be off by up to 90%, and those that an
owner sees include throttling, resumption and waiting. The side sees a task's
progress and its CPU share, and can extrapolate the run time once about a third
is done: for a task of 3.4 s that is 2 s before its end, when the owner still
has most of the step's other tasks to place.
"""

import dataclasses

from portwharf.core import data
from portwharf.peers import messages

# Progress is listed in whole percent; above this, rounding puts a run time off
# by 5% at most.
MIN_PERCENT = 30
# The run time is not estimated once the share has been below this.
_MIN_SHARE = 10
# Maximum number of estimates that wait for a heartbeat, as the tasks of a step
# end together, 60 a second.
MAX_DUE = 100
_FULL = 100
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class _Seen:
    """One attempt, since it was first listed.

    :param percent: its progress at that time
    :param worked: seconds since then, scaled to its full share
    :param at: when it was last updated, on the monotonic clock
    :param share: its current CPU share, in percent
    :param told: no further estimate is due
    """

    percent: int = 0
    worked: float = 0.0
    at: float = 0.0
    share: int = _FULL
    told: bool = False


class RuntimeEstimator:
    """Estimates the run times of one worker's tasks."""

    def __init__(self):
        self._seen = {}
        self._due = []

    def record_start(self, start, now):
        """Record that an attempt has started.

        :param start: a ``workers.Start``
        """
        if not start.checkpoint and start.kind == data.Kind.BATCH:
            self._seen[(start.task, start.attempt)] = _Seen(at=now)

    def update(self, attempts, paced, now):
        """Take the progress of attempts.

        :param attempts: all listed attempts, as a list of ``workers.Attempt``
        :param paced: the shares set before this, as a list of
            ``messages.PacedTask``
        :param now: monotonic time, in seconds
        """
        shares = {(one.task, one.attempt): one.percent for one in paced}
        live = set()
        for attempt in attempts:
            name = (attempt.task, attempt.attempt)
            percent = _read_percent(attempt)
            if percent is None:
                continue
            live.add(name)
            self._update_attempt(
                name, attempt, percent, shares.get(name, _FULL), now
            )
        self._seen = {n: one for n, one in self._seen.items() if n in live}

    def take_estimates(self):
        """Return the ``messages.RunMeasure`` that are due."""
        due, self._due = self._due, []
        return due

    def _update_attempt(self, name, attempt, percent, share, now):
        seen = self._seen.get(name)
        if seen is None:
            # The progress that a resumed attempt starts from is only known
            # once it is listed.
            if 0 < percent < _FULL:
                self._seen[name] = _Seen(percent, 0.0, now, share)
            return
        seen.worked += (now - seen.at) * seen.share / _FULL
        seen.at = now
        if min(share, seen.share) < _MIN_SHARE:
            # At so small a share it is uncertain how much the attempt worked.
            seen.told = True
        seen.share = share
        done = percent - seen.percent
        if seen.told or done < MIN_PERCENT:
            return
        seen.told = True
        run_ms = int(seen.worked * _FULL / done * _MS_PER_SECOND)
        if run_ms > 0 and len(self._due) < MAX_DUE:
            measure = messages.RunMeasure(attempt.task, run_ms)
            self._due.append(measure)


def _read_percent(attempt):
    """Return the progress of an attempt in percent, or None if unknown."""
    if attempt.kind != data.Kind.BATCH:
        return None
    if attempt.state == data.RunState.SUCCEEDED:
        return _FULL
    return attempt.percent if attempt.state == data.RunState.RUNNING else None

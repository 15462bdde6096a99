# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How long tasks run in all, told from how far they have come.

What clients state may be off by nine tenths, and what an owner sees of a
task has been paced, resumed or waited for. Its side sees its progress, and
the share that it worked at. Once a third of it is done, the rest follows: for
a task of 3.4 s that is 2 s before its end, while most of its step still waits.
"""

import dataclasses

from portwharf.core import data
from portwharf.peers import messages

# Progress is listed in whole percent: over this many a run time is off by 5%
# at the most.
LEAST_PERCENT = 30
# A share that has been below this for some of the time says too little.
_LEAST_SHARE = 10
# Measurements that wait for a heartbeat: steps end together, 60 a second.
MAX_WAITING = 100
_FULL = 100
_MS = 1000


@dataclasses.dataclass(slots=True)
class _Seen:
    """One attempt, from when it was first seen.

    :param percent: how much was done then
    :param worked: seconds at full pace since
    :param share: in percent, that it works at now
    """

    percent: int = 0
    worked: float = 0.0
    at: float = 0.0
    share: int = _FULL
    told: bool = False


class WorkMeter:
    """Measures the attempts of one worker."""

    def __init__(self):
        self._seen = {}
        self._waiting = []

    def note_start(self, start, now):
        """Note that an attempt has begun.

        :param start: a ``workers.Start``
        """
        if not start.checkpoint and start.kind == data.Kind.BATCH:
            self._seen[(start.task, start.attempt)] = _Seen(at=now)

    def note_listing(self, attempts, paced, now):
        """Take in how far attempts have come.

        :param attempts: list of ``workers.Attempt``, all that is listed
        :param paced: list of ``messages.PacedTask``, as told before this
        """
        shares = {(one.task, one.attempt): one.percent for one in paced}
        live = set()
        for attempt in attempts:
            name = (attempt.task, attempt.attempt)
            percent = _read_percent(attempt)
            if percent is None:
                continue
            live.add(name)
            self._note(name, attempt, percent, shares.get(name, _FULL), now)
        self._seen = {n: one for n, one in self._seen.items() if n in live}

    def take(self):
        """Return the ``messages.RunMeasure`` that are due."""
        due, self._waiting = self._waiting, []
        return due

    def _note(self, name, attempt, percent, share, now):
        seen = self._seen.get(name)
        if seen is None:
            # Where it went on from is not known before it shows progress.
            if 0 < percent < _FULL:
                self._seen[name] = _Seen(percent, 0.0, now, share)
            return
        seen.worked += (now - seen.at) * seen.share / _FULL
        seen.at = now
        if min(share, seen.share) < _LEAST_SHARE:
            # Whether it hardly worked or not at all, its progress hides.
            seen.told = True
        seen.share = share
        done = percent - seen.percent
        if seen.told or done < LEAST_PERCENT:
            return
        seen.told = True
        run_ms = int(seen.worked * _FULL / done * _MS)
        if run_ms > 0 and len(self._waiting) < MAX_WAITING:
            measure = messages.RunMeasure(attempt.task, run_ms)
            self._waiting.append(measure)


def _read_percent(attempt):
    """Return how much of an attempt is done, None if that says nothing."""
    if attempt.kind != data.Kind.BATCH:
        return None
    if attempt.state == data.RunState.SUCCEEDED:
        return _FULL
    return attempt.percent if attempt.state == data.RunState.RUNNING else None

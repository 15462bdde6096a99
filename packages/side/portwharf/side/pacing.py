# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Paces what fills a VM, so that what serves on it keeps its targets.

A reflex of the side, within a poll of the measurement: what the owner
would hear a heartbeat later comes too late for a load that swings within
seconds. All tasks that fill one VM work at one share. It falls by a factor
while a task's tail is near its target or over it, and is given back in
small steps when all have room.
"""

import dataclasses

from portwharf.core import data

FULL = 100
# Tails over targets at which work is taken back, fast and faster, and
# below which it is given again. Chosen so that a swing of the load by a
# third between two polls stays under the target.
NEAR = 0.75
OVER = 1.0
ROOMY = 0.6
_NEAR_FACTOR = 0.7
_OVER_FACTOR = 0.35
_GIVE_STEP = 8
# Less than this is not worth a call.
_LEAST_CHANGE = 3
# At a share this low, what fills is not the cause.
LEAST = 4
# Traits that are remembered, for tasks that ended long ago.
MAX_TRAITS = 5000


@dataclasses.dataclass(slots=True)
class Trait:
    """What matters here of a task: it fills, or has a target."""

    fills: bool = False
    target_ms: int = 0


@dataclasses.dataclass(slots=True)
class Pace:
    """Let an attempt work at this share, in percent."""

    task: str = ''
    attempt: int = 0
    percent: int = FULL


class Pacer:
    """The share that what fills one VM works at."""

    def __init__(self):
        self._traits = {}
        self._told = {}
        self._share = float(FULL)

    @property
    def share(self):
        """The share that filling tasks work at, in percent."""
        return self._share

    def note_start(self, message):
        """Take the traits of a task from its ``messages.StartTask``."""
        self._traits.pop(message.task, None)
        if message.fills or message.target_ms:
            trait = Trait(message.fills, message.target_ms)
            self._traits[message.task] = trait
        if len(self._traits) > MAX_TRAITS:
            del self._traits[next(iter(self._traits))]

    def plan(self, attempts):
        """Return the :class:`Pace` changes that are due.

        :param attempts: list of ``workers.Attempt``, just listed
        """
        running = [a for a in attempts if a.state == data.RunState.RUNNING]
        filling = [a for a in running if self._find_trait(a).fills]
        self._adjust(self._find_worst(running), bool(filling))
        live = {(a.task, a.attempt) for a in filling}
        self._told = {n: p for n, p in self._told.items() if n in live}
        changes = []
        share = int(self._share)
        for one in filling:
            name = (one.task, one.attempt)
            told = self._told.get(name, FULL)
            if abs(told - share) < _LEAST_CHANGE and share != FULL:
                continue
            if told == share:
                continue
            self._told[name] = share
            changes.append(Pace(one.task, one.attempt, share))
        return changes

    def forget_told(self, pace):
        """Take back that a change was made: the worker did not answer."""
        self._told.pop((pace.task, pace.attempt), None)

    def _find_trait(self, attempt):
        return self._traits.get(attempt.task) or Trait()

    def _find_worst(self, running):
        """Return the highest tail over its target, 0 without targets."""
        ratios = [
            one.tail_ms / self._find_trait(one).target_ms
            for one in running
            if self._find_trait(one).target_ms and one.tail_ms
        ]
        return max(ratios, default=0.0)

    def _adjust(self, worst, filled):
        if worst >= OVER and filled:
            self._share = max(LEAST, self._share * _OVER_FACTOR)
        elif worst >= NEAR and filled:
            self._share = max(LEAST, self._share * _NEAR_FACTOR)
        elif worst < ROOMY:
            self._share = min(FULL, self._share + _GIVE_STEP)

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a side saw of its worker's crashes, and of what ran there then.

An attempt is gone for many reasons: its lease ran out, nobody knew of its
start, its worker was taken away as planned, or the worker crashed under it.
Only the side can tell them apart, and only while it lives: one that has just
started has seen no crash.
"""

import dataclasses

from portwharf.core import recent

# Attempts whose start, or end by a crash, is remembered.
MAX_ATTEMPTS = 20_000
# How long an attempt had run is not known, or not whether it had begun.
UNKNOWN = -1
_MS = 1000


@dataclasses.dataclass(slots=True)
class Crash:
    """A crash of the worker, as it concerns one attempt.

    :param name: which crash it was, among those of this VM
    :param ran_ms: how long before it was seen the attempt's start was
        answered, in ms, or ``UNKNOWN``
    """

    name: str = ''
    ran_ms: int = UNKNOWN


class CrashWatch:
    """The crashes of one worker, for the agent's thread."""

    def __init__(self):
        self._starts = recent.Recent(MAX_ATTEMPTS)
        self._crashes = recent.Recent(MAX_ATTEMPTS)
        # The ``data.LifeId`` that was there at the last look, or None; and
        # whether it had said that it would leave.
        self._life = None
        self._leaving = False

    def note_start(self, name, now):
        """Note that the worker has answered an attempt's start.

        :param name: (task, attempt)
        """
        self._starts.put(name, now)

    def look(self, listing):
        """Take what the worker shows of itself.

        :returns: whether the life that was there before has crashed
        """
        former, leaving = self._life, self._leaving
        known = bool(listing.life.instance) and not listing.absent
        self._life = listing.life if known else None
        self._leaving = listing.draining
        return former is not None and former != self._life and not leaving

    def note_crash(self, life, names, now):
        """Note what may have run in a life that has crashed.

        :param life: its ``data.LifeId``
        :param names: attempts as (task, attempt)
        :returns: the crash's name
        """
        crash = life.name or str(int(now * _MS))
        for name in names:
            began = self._starts.get(name)
            ran_ms = UNKNOWN if began is None else int((now - began) * _MS)
            self._crashes.put(name, Crash(crash, ran_ms))
        return crash

    def find(self, name):
        """Return the :class:`Crash` that ended an attempt, or None."""
        return self._crashes.get(name)

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Refused jobs, their slots and callers, for ``return_schedule``."""

import bisect
import dataclasses
import math


@dataclasses.dataclass(slots=True)
class RefusedJob:
    """A refused job; all times are monotonic, in seconds.

    :param asked_at: time of its first submission
    :param refused_at: time of its last refusal by admission control
    :param refused_ms: wall time of its last refusal, also of an early retry
    :param due_at: begin of its slot; infinite without a slot
    :param return_at: time from which it may return, also without a slot
    :param late_at: time after which it is of no use any more
    :param useful: whether it was told to return
    :param refusals: how often it was refused
    :param refusal: the last ``return_schedule.Refusal``
    """

    id: str = ''
    queue: str = ''
    rank: int = 0
    caller: str = ''
    asked_at: float = 0.0
    refused_at: float = 0.0
    refused_ms: int = 0
    due_at: float = math.inf
    return_at: float = 0.0
    late_at: float = 0.0
    useful: bool = False
    refusals: int = 0
    refusal: object = None

    @property
    def work(self):
        """Its work, in thousandths of a processor times ms."""
        return self.refusal.work

    def rank_wait(self, now):
        """Return the sort key of who has waited longest for its chain.

        Of jobs that have not waited yet, the shorter one goes first.
        """
        chain_ms = max(1.0, self.refusal.chain_ms)
        return (self.asked_at - now) / chain_ms, chain_ms


class SlotTable:
    """The slots of one capacity class, which do not overlap."""

    __slots__ = ('slots',)

    def __init__(self):
        # (begin, end, job id) in order of time.
        self.slots = []

    def find_free(self, begin, seconds):
        """Return the first time from ``begin`` on with room for a slot."""
        number = max(0, bisect.bisect(self.slots, (begin,)) - 1)
        for other_begin, other_end, _ in self.slots[number:]:
            if begin + seconds <= other_begin:
                break
            begin = max(begin, other_end)
        return begin

    def add(self, begin, seconds, job_id):
        """Add a slot at a time that :meth:`find_free` returned."""
        bisect.insort(self.slots, (begin, begin + seconds, job_id))

    def remove(self, begin):
        """Remove the slot that begins at a time."""
        del self.slots[bisect.bisect(self.slots, (begin,))]

    def list_until(self, time):
        """Return the ids of the jobs whose slots begin by a time."""
        end = bisect.bisect(self.slots, (time, math.inf))
        return [job_id for _, _, job_id in self.slots[:end]]


class CallerIndex:
    """Refused jobs by caller, to find the caller with the most of them."""

    def __init__(self, max_jobs):
        """Take the most jobs of one caller that are held at a time."""
        self._by_caller = {}
        # Callers by their number of jobs, as ordered sets.
        self._by_count = [{} for _ in range(max_jobs + 1)]

    def add(self, entry):
        """Add a :class:`RefusedJob`."""
        entries = self._by_caller.setdefault(entry.caller, {})
        self._by_count[len(entries)].pop(entry.caller, None)
        entries[entry.id] = entry
        self._by_count[len(entries)][entry.caller] = None

    def remove(self, entry):
        """Remove a job that was added."""
        entries = self._by_caller[entry.caller]
        del self._by_count[len(entries)][entry.caller]
        del entries[entry.id]
        if entries:
            self._by_count[len(entries)][entry.caller] = None
        else:
            del self._by_caller[entry.caller]

    def count(self, caller):
        """Return how many jobs of a caller are held."""
        return len(self._by_caller.get(caller, ()))

    def find_largest(self):
        """Return the caller with the most jobs."""
        return next(
            next(iter(callers))
            for callers in reversed(self._by_count)
            if callers
        )

    def find_furthest(self, caller):
        """Return the job of a caller whose turn is furthest away.

        Jobs without a turn count as furthest, and of these the one that was
        refused first, as no submission of it may be in progress any more.
        """
        entries = self._by_caller[caller].values()
        return max(entries, key=lambda one: (one.due_at, -one.refused_at))

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Slots and callers of refused jobs, for ``return_schedule``."""

import bisect
import math


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
        """Add a ``return_schedule.RefusedJob``."""
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

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Sums of a queue's submitted and done work, by groups of its jobs.

Groups are callers, zones and size classes. The sums decay over the queue's
mean objective, so that they describe the jobs that can still be in time.
"""

import collections
import dataclasses
import math

# Least share of a queue's submitted work of a group that may be owed. Callers
# require no less.
MIN_GROUP_SHARE = 0.05
# A group is owed below this share of its due. Callers require half. Promotion
# takes seconds to have an effect, so that with half as the limit groups stay
# just below it (0.49 in ``overload_shares``, and 0.52 with this).
MIN_SERVED_SHARE = 0.7
# The sums decay over the queue's mean objective, within these bounds.
MIN_DECAY_SECONDS = 5.0
MAX_DECAY_SECONDS = 60.0
# A group is measured for this share of the mean objective before it can be
# owed: until its first tasks end, it has no done work.
_MEASURED_SHARE = 0.5
# Size classes are derived from this many jobs at most and at least.
MAX_RECENT_JOBS = 200
MIN_RECENT_JOBS = 20
LARGEST, LARGE, OTHER = 'largest', 'large', 'other'
# Positions, as shares of the recent jobs by work, of the size classes' limits.
_LARGEST_FROM = 0.9
_LARGE_FROM = 0.7
# Groups below this share of their queue's work are forgotten. This bounds
# their number, and is too little for them to be owed soon.
_MIN_KEPT_SHARE = 0.001
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class Sums:
    """Decaying sums of work, and when the first of it was submitted."""

    submitted: float = 0.0
    done: float = 0.0
    since: float = 0.0

    def decay(self, factor):
        """Multiply both sums by a factor."""
        self.submitted *= factor
        self.done *= factor


class QueueWork:
    """The sums of one queue and of its groups, by (dimension, name)."""

    def __init__(self, now):
        """Take the monotonic time."""
        self.total = Sums(since=now)
        self.groups = {}
        self.recent = collections.deque(maxlen=MAX_RECENT_JOBS)
        self._objectives_ms = collections.deque(maxlen=MAX_RECENT_JOBS)
        self._limits = None

    @property
    def decay_seconds(self):
        """The mean objective of recent jobs, limited, in seconds."""
        if not self._objectives_ms:
            return MIN_DECAY_SECONDS
        mean_ms = sum(self._objectives_ms) / len(self._objectives_ms)
        mean = mean_ms / _MS_PER_SECOND
        return min(MAX_DECAY_SECONDS, max(MIN_DECAY_SECONDS, mean))

    def decay(self, seconds):
        """Decay all sums, and forget groups with hardly any work."""
        factor = math.exp(-max(0.0, seconds) / self.decay_seconds)
        self.total.decay(factor)
        least = _MIN_KEPT_SHARE * self.total.submitted
        for key, sums in list(self.groups.items()):
            sums.decay(factor)
            if sums.submitted <= least:
                del self.groups[key]

    def record_job(self, work, objective_ms):
        """Record a submitted job for the mean objective and size classes."""
        self.recent.append(work)
        self._objectives_ms.append(objective_ms)
        self._limits = None

    def list_keys(self, job, work):
        """Return the keys of the groups of a job with this much work."""
        keys = []
        if job.caller:
            keys.append(('caller', job.caller))
        if job.zone:
            keys.append(('zone', job.zone))
        if len(self.recent) >= MIN_RECENT_JOBS:
            keys.append(('size', self._find_size_class(work)))
        return keys

    def _find_size_class(self, work):
        if self._limits is None:
            ranked = sorted(self.recent)
            self._limits = [
                ranked[int(share * len(ranked)) - 1]
                for share in (_LARGEST_FROM, _LARGE_FROM)
            ]
        largest, large = self._limits
        if work > largest:
            return LARGEST
        return LARGE if work > large else OTHER

    def submit(self, keys, work, now):
        """Count submitted work; a negative amount is withdrawn."""
        for key in keys:
            sums = self.groups.setdefault(key, Sums(since=now))
            sums.submitted = max(0.0, sums.submitted + work)
        self.total.submitted = max(0.0, self.total.submitted + work)

    def finish(self, keys, work):
        """Count done work."""
        for key in keys:
            if key in self.groups:
                self.groups[key].done += work
        self.total.done += work

    def list_underserved(self, now):
        """Return the keys of groups that get too little of the done work."""
        total = self.total
        return [
            key
            for key, sums in self.groups.items()
            if sums.submitted >= MIN_GROUP_SHARE * total.submitted
            and now - sums.since >= _MEASURED_SHARE * self.decay_seconds
            and sums.done * total.submitted
            < MIN_SERVED_SHARE * sums.submitted * total.done
        ]

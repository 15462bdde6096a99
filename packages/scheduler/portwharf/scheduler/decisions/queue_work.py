# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Sums of a queue's submitted and done work, by groups of its jobs.

Groups are callers and zones. The sums decay over the queue's mean objective,
so that they describe the jobs that can still be in time.
"""

import collections
import dataclasses
import math

# Least share of a queue's submitted work of a group that may be owed. Callers
# require no less.
MIN_GROUP_SHARE = 0.05
# A group is owed below this share of its due. Callers require half; promotion
# takes seconds to have an effect, so that with half as the limit groups would
# stay just below it.
MIN_SERVED_SHARE = 0.7
# The sums decay over the queue's mean objective, within these bounds.
MIN_DECAY_SECONDS = 5.0
MAX_DECAY_SECONDS = 60.0
# A group is measured for this share of the mean objective before it can be
# owed: until its first tasks end, it has no done work.
_MEASURED_SHARE = 0.5
# Recent jobs of a queue whose mean objective is used.
MAX_RECENT_JOBS = 200
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


def list_keys(job):
    """Return the keys of the groups of a ``data.Job``.

    Sizes of jobs are no groups: promoting the largest jobs costs their queue
    work and does not bring more of them in time, as they are too wide.
    """
    keys = []
    if job.caller:
        keys.append(('caller', job.caller))
    if job.zone:
        keys.append(('zone', job.zone))
    return keys


class QueueWork:
    """The sums of one queue and of its groups, by (dimension, name).

    No sum of a group exceeds that of the queue.

    :ivar decay_exponent: how far the sums have decayed since the start: work
        counts exp(-n) of its amount once this has grown by n
    """

    def __init__(self, now):
        """Take the monotonic time."""
        self.total = Sums(since=now)
        self.groups = {}
        self.decay_exponent = 0.0
        self._objectives_ms = collections.deque(maxlen=MAX_RECENT_JOBS)

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
        exponent = max(0.0, seconds) / self.decay_seconds
        self.decay_exponent += exponent
        factor = math.exp(-exponent)
        self.total.decay(factor)
        least = _MIN_KEPT_SHARE * self.total.submitted
        for key, sums in list(self.groups.items()):
            sums.decay(factor)
            if sums.submitted <= least:
                del self.groups[key]

    def record_job(self, objective_ms):
        """Record the objective of a submitted job."""
        self._objectives_ms.append(objective_ms)

    def submit(self, keys, work, now):
        """Count submitted work."""
        for key in keys:
            sums = self.groups.setdefault(key, Sums(since=now))
            sums.submitted += work
        self.total.submitted += work

    def withdraw(self, keys, work, decay_exponent):
        """Subtract submitted work that is not wanted any more.

        :param decay_exponent: its value when the work was submitted
        """
        work *= math.exp(decay_exponent - self.decay_exponent)
        taken = min(work, self.total.submitted)
        for key in keys:
            # A group may have been forgotten since.
            sums = self.groups.get(key, Sums())
            taken = min(taken, sums.submitted)
            sums.submitted = max(0.0, sums.submitted - work)
        largest = max(
            (sums.submitted for sums in self.groups.values()), default=0.0
        )
        self.total.submitted = max(largest, self.total.submitted - taken)

    def finish(self, keys, work):
        """Count done work."""
        for key in keys:
            if key in self.groups:
                self.groups[key].done += work
        self.total.done += work

    def get_shares(self, key):
        """Return a group's shares of the queue's submitted and done work."""
        sums = self.groups[key]
        total = self.total
        return (
            sums.submitted / total.submitted if sums.submitted else 0.0,
            sums.done / total.done if sums.done else 0.0,
        )

    def list_underserved(self, now):
        """Return the keys of groups that get too little of the done work."""
        total = self.total
        if total.submitted <= 0 or total.done <= 0:
            return []
        return [
            key
            for key, sums in self.groups.items()
            if sums.submitted >= MIN_GROUP_SHARE * total.submitted
            and now - sums.since >= _MEASURED_SHARE * self.decay_seconds
            and sums.done * total.submitted
            < MIN_SERVED_SHARE * sums.submitted * total.done
        ]

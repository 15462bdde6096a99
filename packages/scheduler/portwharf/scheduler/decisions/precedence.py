# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which filling task goes first where all of them press on what serves.

The load: more filling tasks on a VM than its servers can bear at once. A
server bears a certain press in all, and a job is worth nothing until the
last of its tasks is done. Shared out evenly, or to the lightest first, that
room goes to a few tasks of every job, and all jobs end late together. So it
goes where the least of it ends a job soonest: by the press of a task times
what is left to do of its job. What is late yields to what is in time.

Used by the owner, for where a task would work at which pace, by what is left
now, and by the side, for who is paced, by what was left when the task began:
of a job that is nearly done a side may pace what the owner would not.
"""

import dataclasses

from portwharf.scheduler.decisions import forecast

# A late job earns about a seventh of one in time on all queues seen, one
# that is three times over its objective nothing.
LATE_WEIGHT = 7.0
TOO_LATE_WEIGHT = 50.0
# The weight of what goes after everything.
LAST = float('inf')
# Presses below this do not tell two images apart.
_LEAST_PRESS = 0.05
# What is left of a job, in processor seconds, below which none is nearer.
_LEAST_LEFT = 1.0
_UNITS = 1e6


@dataclasses.dataclass(slots=True)
class Claim:
    """What a filling task's job has to go for it.

    :param left: what is left to do of the job, in processor seconds
    :param due_ms: wall time by which the step should end, 0 for none
    :param late_ms: wall time after which the job is worth nothing
    """

    left: float = 0.0
    due_ms: int = 0
    late_ms: int = 0

    def weigh(self, now_ms):
        """Return what the job counts; the lowest goes first.

        :param now_ms: wall time
        """
        left = max(_LEAST_LEFT, self.left)
        if not self.due_ms or now_ms <= self.due_ms:
            return left
        return left * (
            TOO_LATE_WEIGHT if now_ms > self.late_ms else LATE_WEIGHT
        )


class Weigher:
    """Weighs the steps of jobs at one time, each job once."""

    def __init__(self, state, now_ms, runtimes=None):
        """Take the shard's state and the wall time.

        :param runtimes: a ``forecast.RunTimes``; clients' estimates, if None
        """
        self._now_ms = now_ms
        self._forecast = forecast.Forecast(state, runtimes)

    def look_at(self, record):
        """Return a step's ``forecast.Prospect``, empty without a job."""
        if not record.workload.job:
            return forecast.Prospect()
        return self._forecast.look_at(record)

    def make_claim(self, record):
        """Return the :class:`Claim` of a step's tasks."""
        known = self.look_at(record)
        end_ms = int(known.begin_ms + known.run_ms)
        return Claim(known.left / _UNITS, end_ms, int(known.late_ms))

    def weigh(self, record):
        """Return what a step's job counts now; the lowest goes first."""
        return self.make_claim(record).weigh(self._now_ms)


def rank(weight, press):
    """Return a task's rank among those on one VM; the lowest goes first.

    :param weight: what :meth:`Claim.weigh` gave
    :param press: how much the task presses on what serves there
    """
    return weight * max(_LEAST_PRESS, press)

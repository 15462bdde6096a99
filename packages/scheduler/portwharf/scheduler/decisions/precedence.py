# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Ranks filling tasks that compete for the headroom of serving tasks.

Filling tasks (``Workload.fills``) use the processors that others leave
unused, and slow the serving tasks on their VM. The headroom of a serving task
(how much its tail latency may still grow) is not enough for all of them, and
a job is worth nothing until its last task is done. Sharing the headroom
evenly would make all jobs late. So it goes to the tasks that complete a job
for the least of it: the rank of a task is its press (how much it slows the
serving task) times the work left in its job. Late jobs yield to those in time.

The owner ranks by the work left now, to predict a task's pace on a VM. The
side ranks by the work left that the owner told it last, to decide which tasks
to slow down (``claim_updates``).
"""

import dataclasses

from portwharf.scheduler.decisions import forecast

# Factors on the weight of a late job, and of one that is too late to matter.
# On all queues seen, a late job earns about a seventh of one in time, and one
# that takes three times its objective earns nothing.
LATE_PENALTY = 7.0
TOO_LATE_PENALTY = 50.0
# Factor on the weight of a job that ``shortage_shares`` promotes. It goes
# before jobs that have up to five times less work left.
PROMOTED_FACTOR = 0.2
# The weight that ranks after every other.
LAST_WEIGHT = float('inf')
# Smaller presses do not differ measurably.
_MIN_PRESS = 0.05
# Jobs with less work left count as equally close to their end.
_MIN_LEFT_CPU_SECONDS = 1.0
_MILLI_MS_PER_CPU_SECOND = 1e6


@dataclasses.dataclass(slots=True)
class Claim:
    """A filling task's claim to headroom, by the state of its job.

    :param left: work left in the job, in processor seconds
    :param due_ms: wall time by which the step should end, 0 for none
    :param late_ms: wall time after which the job is worth nothing
    """

    left: float = 0.0
    due_ms: int = 0
    late_ms: int = 0

    def weigh(self, now_ms):
        """Return the job's weight; the lowest goes first.

        :param now_ms: wall time
        """
        left = max(_MIN_LEFT_CPU_SECONDS, self.left)
        if not self.due_ms or now_ms <= self.due_ms:
            return left
        return left * (
            TOO_LATE_PENALTY if now_ms > self.late_ms else LATE_PENALTY
        )


class Weigher:
    """Weighs steps of jobs at one moment, computing each of them once."""

    def __init__(self, state, now_ms, runtimes=None, shares=None):
        """Take the shard's ``state.ShardState`` and the wall time.

        :param runtimes: a ``forecast.RunTimeModel``; None for the clients'
            estimates
        :param shares: a ``shortage_shares.ShortageShares``; None promotes no
            job
        """
        self._now_ms = now_ms
        self._shares = shares
        self._forecast = forecast.Forecast(state, runtimes)
        self._weights = {}

    def get_step_forecast(self, record):
        """Return a step's ``forecast.StepForecast``, empty without a job."""
        if not record.workload.job:
            return forecast.StepForecast()
        return self._forecast.get_step_forecast(record)

    def is_owed(self, record):
        """Return whether a step's job is promoted."""
        return self._shares is not None and self._shares.is_owed(record)

    def has_waited_long(self, record):
        """Return whether a step's job has waited long during a shortage."""
        return self._shares is not None and self._shares.has_waited_long(
            record
        )

    def make_claim(self, record):
        """Return the :class:`Claim` of a step's tasks."""
        found = self.get_step_forecast(record)
        end_ms = int(found.begin_ms + found.run_ms)
        left = found.left / _MILLI_MS_PER_CPU_SECOND
        if self.is_owed(record):
            left *= PROMOTED_FACTOR
        return Claim(left, end_ms, int(found.late_ms))

    def weigh(self, record):
        """Return the weight of a step's job now; the lowest goes first."""
        weight = self._weights.get(record.id)
        if weight is None:
            weight = self.make_claim(record).weigh(self._now_ms)
            self._weights[record.id] = weight
        return weight


def rank(weight, press):
    """Return a task's rank among those on one VM; the lowest goes first.

    :param weight: as :meth:`Claim.weigh` returns it
    :param press: the task's press on a serving task there
    """
    return weight * max(_MIN_PRESS, press)

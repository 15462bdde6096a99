# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The backlog of a capacity class, and what of it goes before a job."""

import bisect
import dataclasses
import itertools

from portwharf.scheduler.decisions import backlog

# Share of the predicted time that the work before a job is taken to need.
# Learnt run times of a whole queue are within a factor of two.
MIN_TIME_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class StepLoad:
    """What one step adds to the backlog of a class.

    :param key: its place in the order of ``backlog``, as
        :func:`make_order_key` returns it
    :param work: in thousandths of a processor times ms
    :param late_ms: wall time after which its job is too late to matter
    :param job: its job's id
    """

    key: tuple = ()
    work: float = 0.0
    late_ms: float = 0.0
    job: str = ''


class ClassBacklog:
    """The steps that wait for or run on one class, in the order of serving."""

    def __init__(self, steps):
        self.steps = sorted(steps, key=_get_key)
        self._sums = None

    def add(self, step):
        """Add a :class:`StepLoad` that was accepted."""
        bisect.insort(self.steps, step, key=_get_key)
        self._sums = None

    def find(self, key):
        """Return the number of steps that are served before a key."""
        return bisect.bisect_left(self.steps, key, key=_get_key)

    def sum_work(self, first, end):
        """Return the work of the steps from one index to another."""
        if self._sums is None:
            works = (step.work for step in self.steps)
            self._sums = list(itertools.accumulate(works, initial=0.0))
        return self._sums[end] - self._sums[first]

    @property
    def left(self):
        """The work of all steps."""
        return self.sum_work(0, len(self.steps))


class WorkBefore:
    """The work of a class that is served before a step.

    :ivar ahead: the work before it, once it was looked for
    """

    def __init__(self, loads, rate, due, now_ms):
        """Take the class's :class:`ClassBacklog` and its rate.

        :param due: work of returning jobs that go first
        """
        self._loads = loads
        self._rate = rate
        self._due = due
        self._now_ms = now_ms
        self.ahead = 0.0

    def find_begin(self, step):
        """Return the earliest wall time at which a step could begin.

        While its job is in time, only urgent work and smaller jobs in time go
        before it. From then on, smaller late jobs do as well.
        """
        workload = step.record.workload
        found = step.step_forecast
        key = make_order_key(workload, found, self._now_ms)
        first = self._loads.find((key[0],))
        end = self._loads.find(key)
        self.ahead = self._due + self._loads.sum_work(0, end)
        begin_ms = self._now_ms + self._estimate_ms(self.ahead)
        late_start_ms = backlog.find_late_start_ms(found)
        if begin_ms <= late_start_ms:
            return begin_ms
        rows = self._loads.steps[first : self._loads.find((key[0], 2))]
        rows = [row for row in rows if row.key[2:] < key[2:]]
        self.ahead = self._due + self._loads.sum_work(0, first)
        self.ahead += sum(row.work for row in rows)
        time_ms = self._now_ms + self._estimate_ms(
            self._due + self._loads.sum_work(0, first)
        )
        for row in rows:
            # Work on a job ends when it is too late to matter.
            latest_ms = max(time_ms, row.late_ms)
            time_ms = min(time_ms + self._estimate_ms(row.work), latest_ms)
        return max(time_ms, late_start_ms, self._now_ms)

    def _estimate_ms(self, work):
        return estimate_least_ms(work, self._rate)


def make_order_key(workload, step_forecast, now_ms, promoted=False):
    """Return a step's place in the order in which ``backlog`` serves steps.

    :returns: (importance, lateness, promotion, work left); lowest first
    """
    return (
        -workload.importance,
        backlog.rank_lateness(step_forecast, now_ms),
        not promoted,
        step_forecast.left,
    )


def estimate_least_ms(work, rate):
    """Return the least time that an amount of work takes at a rate."""
    return MIN_TIME_SHARE * work / rate


def _get_key(step):
    return step.key

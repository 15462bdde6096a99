# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How long tasks run, by what clients estimate and what was measured.

The load: clients whose estimates are off by up to nine tenths either way, so
that jobs in time count as late, late ones as in time, and what is left of a
job says little. Nobody is told which clients these are. So a queue's run times
and the errors of its estimates are both learnt, and a step is taken to run for
the mean of both, each weighed by how far off it has been: a queue with good
estimates goes by them, one with useless ones by what its tasks usually take.
Tasks of one step are alike: once some of them have been measured, they say how
long the others will run.

All of it is the present owner's own knowledge, learnt anew within seconds.
"""

import dataclasses
import math
import statistics

from portwharf.core import data
from portwharf.scheduler import jobs

# Measurements of a queue before its estimates are weighed against them.
LEAST_MEASURED = 8
# What one more measurement of a queue counts, once there are many: twenty
# steps or so are remembered, some seconds of the loads known.
_NEWEST = 0.05
# What an estimate is taken to be off by at the least, as a deviation of the
# logarithm: tasks of one step differ by this on the platforms known (0.15).
_LEAST_DEVIATION = 0.15
# A factor beyond this, either way, is taken for it: a worker that hangs, or a
# client that states nothing.
_MOST_FACTOR = 20.0
# Measurements of a step that are kept; the median of so many is off by 5%.
_STEP_SAMPLES = 9


class _Spread:
    """Mean and variance of a number that drifts."""

    __slots__ = ('count', 'mean', 'variance')

    def __init__(self):
        self.count = 0
        self.mean = 0.0
        self.variance = 0.0

    def add(self, number):
        self.count += 1
        share = max(1 / self.count, _NEWEST)
        off = number - self.mean
        self.mean += share * off
        self.variance = (1 - share) * (self.variance + share * off * off)


class _Queue:
    """The run times of a queue's steps, and the errors of its estimates.

    Logarithms of ms, and of measured over estimated.
    """

    __slots__ = ('errors', 'times')

    def __init__(self):
        self.times = _Spread()
        self.errors = _Spread()

    def predict(self, estimate_ms):
        """Return how long a task of a new step runs, in ms."""
        if self.times.count < LEAST_MEASURED:
            return estimate_ms
        least = _LEAST_DEVIATION**2
        usual = 1 / (least + self.times.variance)
        stated = 1 / (least + self.errors.variance) if estimate_ms else 0.0
        guess = usual * self.times.mean
        if estimate_ms:
            guess += stated * (math.log(estimate_ms) + self.errors.mean)
        return math.exp(guess / (usual + stated))


class RunTimes:
    """What an owner has learnt of run times; not for several threads."""

    def __init__(self):
        self._queues = {}
        self._steps = {}

    def note(self, queue, record, run_ms):
        """Take a measurement of one task.

        :param queue: the name of its job's queue
        :param record: its ``state.WorkloadRecord``
        :param run_ms: how long it runs in all, working in full
        """
        run_ms = max(1, run_ms)
        samples = self._steps.setdefault(record.id, [])
        if len(samples) >= _STEP_SAMPLES:
            return
        samples.append(run_ms)
        if len(samples) > 1:
            # A wide step is no more evidence than a narrow one.
            return
        known = self._queues.setdefault(queue, _Queue())
        known.times.add(math.log(run_ms))
        estimate_ms = record.workload.run_ms
        if estimate_ms:
            factor = run_ms / estimate_ms
            factor = min(_MOST_FACTOR, max(1 / _MOST_FACTOR, factor))
            known.errors.add(math.log(factor))

    def predict(self, queue, record):
        """Return how long a task of a step is taken to run, in ms.

        What lasts is never done: it adds nothing to what is left.
        """
        if record.workload.kind != data.Kind.BATCH:
            return record.workload.run_ms
        samples = self._steps.get(record.id)
        if samples:
            return statistics.median(samples)
        known = self._queues.get(queue)
        estimate_ms = record.workload.run_ms
        return known.predict(estimate_ms) if known else estimate_ms

    def find_measured(self, workload):
        """Return how long a step's tasks run in ms, or None if not measured.

        :param workload: the step's id
        """
        samples = self._steps.get(workload)
        return int(statistics.median(samples)) if samples else None

    def forget(self, live):
        """Forget the steps that are not among those that may still run.

        :param live: ids of workloads
        """
        self._steps = {n: s for n, s in self._steps.items() if n in live}


class Estimates(RunTimes):
    """Goes by what clients state alone, as a measure to compare with."""

    def note(self, queue, record, run_ms):
        """Learn nothing."""


@dataclasses.dataclass(slots=True)
class Prospect:
    """How a step stands, and its job with it, at one of the job's times.

    :param left: what is left to do of the job, in thousandths of a processor
        times ms
    :param run_ms: how long one of the step's tasks runs
    :param begin_ms: wall time by which the step has to begin, for its job to
        end in time
    :param late_ms: wall time after which the job is too late to matter
    """

    left: float = 0.0
    run_ms: float = 0.0
    begin_ms: float = 0.0
    late_ms: float = 0.0


class Forecast:
    """The prospects of jobs at one time, each job worked out once."""

    def __init__(self, state, runtimes=None):
        """Take the shard's state, and what was learnt of run times.

        :param runtimes: a :class:`RunTimes`; clients' estimates, if None
        """
        self._state = state
        self._runtimes = runtimes or Estimates()
        self._known = {}

    def look_at(self, record):
        """Return the :class:`Prospect` of a job's step."""
        job_id, time, number = jobs.split_step_id(record.id)
        name = (job_id, time)
        if name not in self._known:
            job = self._state.jobs[job_id]
            self._known[name] = self._work_out(job, time)
        return self._known[name][number]

    def _work_out(self, job, time):
        """Return the prospects of all steps at one of a job's times."""
        count = len(job.job.steps)
        names = job.steps[time * count : (time + 1) * count]
        steps = [self._state.workloads[name] for name in names]
        queue = job.job.queue
        run_ms = [self._runtimes.predict(queue, step) for step in steps]
        chains = jobs.measure_chains(job.job.steps, run_ms)
        objective = jobs.find_objective(job.job, max(chains))
        begins = steps[0].not_before_ms or job.unix_ms
        late_ms = begins + jobs.LATE_FACTOR * objective
        left = sum(
            (step.workload.count - step.succeeded)
            * step.workload.resources.cpu_milli
            * ms
            for step, ms in zip(steps, run_ms, strict=True)
        )
        return [
            Prospect(left, ms, begins + objective - chain, late_ms)
            for ms, chain in zip(run_ms, chains, strict=True)
        ]

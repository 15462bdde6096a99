# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Predicts run times of tasks, and from them when jobs' steps must begin.

Clients' estimates may be wrong by up to 90% either way, and it is not known
whose are. For each queue the distribution of its run times and of the errors
of its estimates are both learnt. A new step's run time is the mean of the
queue's usual run time and the corrected estimate, each weighted by the inverse
of its variance (in logarithms), so that good estimates prevail in one queue
and usual run times in another. Once tasks of a step have been measured, their
median predicts the step's other tasks.

The model lives in the owner's memory; a new owner learns it anew within
seconds.
"""

import dataclasses
import math
import statistics

from portwharf.core import data
from portwharf.scheduler import jobs

# Measurements of a queue that are needed before it corrects estimates.
MIN_MEASUREMENTS = 8
# Least weight of a new measurement in a queue's statistics: they follow about
# the last 20 steps, which are some seconds of the loads known.
_MIN_UPDATE_SHARE = 0.05
# Least standard deviation of a prediction, in natural logarithms: tasks of one
# step differ by about this much on the platforms known.
_MIN_DEVIATION = 0.15
# Bound, either way, on measured over estimated run time: bounds the effect of
# a worker that hangs or of a nonsensical estimate.
_MAX_ERROR_FACTOR = 20.0
# Measurements kept of one step; the median of so many is off by about 5%.
_MAX_STEP_SAMPLES = 9


class _MovingStats:
    """Exponentially weighted mean and variance of a series."""

    __slots__ = ('count', 'mean', 'variance')

    def __init__(self):
        self.count = 0
        self.mean = 0.0
        self.variance = 0.0

    def add(self, value):
        """Update the mean and the variance with one more value."""
        self.count += 1
        share = max(1 / self.count, _MIN_UPDATE_SHARE)
        error = value - self.mean
        self.mean += share * error
        self.variance = (1 - share) * (self.variance + share * error * error)


class _QueueModel:
    """Statistics of a queue's run times and of the errors of its estimates.

    ``times`` are logarithms of ms, ``errors`` logarithms of measured over
    estimated run time.
    """

    __slots__ = ('errors', 'times')

    def __init__(self):
        self.times = _MovingStats()
        self.errors = _MovingStats()

    def predict(self, estimate_ms):
        """Return the predicted run time of a new step's task, in ms.

        :param estimate_ms: the client's estimate, 0 for none
        """
        if self.times.count < MIN_MEASUREMENTS:
            return estimate_ms
        floor = _MIN_DEVIATION**2
        usual = 1 / (floor + self.times.variance)
        stated = 1 / (floor + self.errors.variance) if estimate_ms else 0.0
        weighted = usual * self.times.mean
        if estimate_ms:
            weighted += stated * (math.log(estimate_ms) + self.errors.mean)
        return math.exp(weighted / (usual + stated))


class RunTimeModel:
    """Run times learnt from measurements; not thread-safe."""

    def __init__(self):
        self._queues = {}
        self._steps = {}

    def record_run_time(self, queue, record, run_ms):
        """Record the measured run time of one task.

        :param queue: the name of its job's queue
        :param record: its ``state.WorkloadRecord``
        :param run_ms: its whole run time at full pace, in ms
        """
        run_ms = max(1, run_ms)
        samples = self._steps.setdefault(record.id, [])
        if len(samples) >= _MAX_STEP_SAMPLES:
            return
        samples.append(run_ms)
        if len(samples) > 1:
            # Each step counts once for its queue, however many tasks it has.
            return
        model = self._queues.setdefault(queue, _QueueModel())
        model.times.add(math.log(run_ms))
        estimate_ms = record.workload.run_ms
        if estimate_ms:
            factor = run_ms / estimate_ms
            factor = min(_MAX_ERROR_FACTOR, max(1 / _MAX_ERROR_FACTOR, factor))
            model.errors.add(math.log(factor))

    def predict(self, queue, record):
        """Return the predicted run time of a step's task, in ms.

        For a standing step this is the client's own figure, as such a step
        has no run time to learn.
        """
        if record.workload.kind != data.Kind.BATCH:
            return record.workload.run_ms
        samples = self._steps.get(record.id)
        if samples:
            return statistics.median(samples)
        model = self._queues.get(queue)
        estimate_ms = record.workload.run_ms
        return model.predict(estimate_ms) if model else estimate_ms

    def get_usual_ms(self, queue):
        """Return the usual run time of a queue's tasks, in ms.

        :returns: None if too few steps of the queue were measured
        """
        model = self._queues.get(queue)
        if model is None or model.times.count < MIN_MEASUREMENTS:
            return None
        return math.exp(model.times.mean)

    def get_measured_ms(self, workload):
        """Return the median measured run time of a step's tasks, in ms.

        :param workload: the step's id
        :returns: None if no task of it was measured
        """
        samples = self._steps.get(workload)
        return int(statistics.median(samples)) if samples else None

    def forget(self, live):
        """Drop the measurements of all steps but the live ones.

        :param live: ids of the workloads that may still run
        """
        self._steps = {n: s for n, s in self._steps.items() if n in live}


class ClientEstimates(RunTimeModel):
    """Predicts by clients' estimates alone; a baseline for comparison."""

    def record_run_time(self, queue, record, run_ms):
        """Ignore the measurement."""


@dataclasses.dataclass(slots=True)
class StepForecast:
    """Remaining work and deadlines of a step, in one run of its job.

    :param left: work left in the job's run, in thousandths of a processor
        times ms
    :param run_ms: predicted run time of one of the step's tasks
    :param begin_ms: wall time by which the step has to begin, for the job to
        meet its objective
    :param late_ms: wall time after which the job is too late to matter
    """

    left: float = 0.0
    run_ms: float = 0.0
    begin_ms: float = 0.0
    late_ms: float = 0.0


class Forecast:
    """Forecasts of jobs' steps at one moment, computed once per job run."""

    def __init__(self, state, runtimes=None):
        """Take the shard's ``state.ShardState``.

        :param runtimes: a :class:`RunTimeModel`; clients' estimates if None
        """
        self._state = state
        self._runtimes = runtimes or ClientEstimates()
        self._forecasts = {}

    def get_step_forecast(self, record):
        """Return the :class:`StepForecast` of a job's step."""
        job_id, time, number = jobs.split_step_id(record.id)
        name = (job_id, time)
        if name not in self._forecasts:
            job = self._state.jobs[job_id]
            self._forecasts[name] = self._forecast_steps(job, time)
        return self._forecasts[name][number]

    def _forecast_steps(self, job, time):
        """Return the forecasts of all steps in one run of a job.

        :param time: number of the run, from 0
        """
        steps = [
            self._state.workloads[name] for name in job.list_occurrence(time)
        ]
        queue = job.job.queue
        run_ms = [self._runtimes.predict(queue, step) for step in steps]
        chains = jobs.compute_path_ms(job.job.steps, run_ms)
        objective_ms = jobs.compute_objective_ms(job.job, max(chains))
        begin_ms = steps[0].not_before_ms or job.asked_ms
        late_ms = begin_ms + jobs.LATE_FACTOR * objective_ms
        left = sum(
            (step.workload.count - step.succeeded)
            * step.workload.resources.cpu_milli
            * ms
            for step, ms in zip(steps, run_ms, strict=True)
        )
        return [
            StepForecast(left, ms, begin_ms + objective_ms - chain_ms, late_ms)
            for ms, chain_ms in zip(run_ms, chains, strict=True)
        ]

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tells which jobs could still end in time, with all of their capacity."""

import dataclasses

from portwharf.scheduler.decisions import shard_load
from portwharf.scheduler import jobs

# Relative error of estimated run times, as in ``backlog``.
_ESTIMATE_TOLERANCE = 0.3
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class Outlook:
    """What a job needs to end in time, at one moment.

    :param left: work left
    :param due_at: monotonic time of its objective
    :param is_short: whether the capacity class of its next step is short
    :param can_end: whether it would end in time with all of that capacity
    :param may_wait: seconds that it may wait in all, and still be in time
    """

    left: float = 0.0
    due_at: float = 0.0
    is_short: bool = False
    can_end: bool = False
    may_wait: float = 0.0


class Outlooks:
    """The :class:`Outlook` of jobs at one moment, computed on demand."""

    def __init__(self, state, weigher, now, is_short, get_rate):
        """Take the shard's ``state.ShardState`` and the monotonic time.

        Other parameters are those of ``ShortageShares.update``.
        """
        self._state = state
        self._weigher = weigher
        self._now = now
        self._is_short = is_short
        self._get_rate = get_rate
        self._found = {}

    def get(self, job):
        """Return the :class:`Outlook` of a ``shortage_shares.TrackedJob``."""
        job_id = job.record.job.id
        if job_id not in self._found:
            self._found[job_id] = self._compute(job)
        return self._found[job_id]

    def _compute(self, job):
        record = job.record
        steps = job.steps
        found = [self._weigher.get_step_forecast(step) for step in steps]
        objective_ms = compute_objective_ms(record.job, found)
        run_ms = [forecast.run_ms for forecast in found]
        chain_ms = max(jobs.compute_path_ms(record.job.steps, run_ms))
        # Time that each step takes with the whole capacity of its class.
        alone_ms = [
            self._compute_alone_ms(step, ms)
            for step, ms in zip(steps, run_ms, strict=True)
        ]
        left_ms = max(jobs.compute_path_ms(record.job.steps, alone_ms))
        following = next(
            (step for step in steps if not self._state.is_done(step)),
            steps[-1],
        ).workload
        due_at = job.began + objective_ms / _MS_PER_SECOND
        least_ms = (1 - _ESTIMATE_TOLERANCE) * left_ms
        return Outlook(
            found[0].left,
            due_at,
            self._is_short(_get_class(following)),
            self._now + least_ms / _MS_PER_SECOND <= due_at,
            (objective_ms - chain_ms) / _MS_PER_SECOND,
        )

    def _compute_alone_ms(self, step, run_ms):
        workload = step.workload
        count = workload.count - step.succeeded
        if count <= 0:
            return 0.0
        rate = self._get_rate(_get_class(workload))
        if rate <= 0:
            return run_ms
        return max(
            run_ms, count * workload.resources.cpu_milli * run_ms / rate
        )


def compute_objective_ms(job, forecasts):
    """Return a job's objective by the ``StepForecast`` of its steps."""
    chain_ms = max(
        jobs.compute_path_ms(job.steps, [one.run_ms for one in forecasts])
    )
    return jobs.compute_objective_ms(job, chain_ms)


def _get_class(workload):
    return shard_load.CapacityClass(workload.pool, workload.fills)

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Decides whether a submitted job is accepted or refused at once.

A job is refused if no worker can ever hold one of its tasks, or if it is known
to be of no use by the time it could end: a class of capacity that it needs is
short (``shard_load``), and even if all work that is served before it took half
the predicted time, it would end after its late limit. Where the load, the run
times or the objective are not known well, a job is accepted. A job for which
the processes that read the log have no memory is refused as well.
"""

import collections
import dataclasses
import math

from portwharf.core import data
from portwharf.scheduler.decisions import admission_defaults
from portwharf.scheduler.decisions import class_backlog
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import shard_load
from portwharf.scheduler.decisions import worker_sizes
from portwharf.scheduler import jobs

CODE_NO_ROOM = 'no-room'
REASON_LATE = 'cannot-end-in-time'
REASON_FULL = 'jobs-take-all-memory'
# Time after which a job that was refused for want of memory may be accepted:
# the interval at which ended jobs are dropped.
FULL_RETRY_MS = 20_000
# Least pace, 0 to 1, at which a filling task is not short of processors.
MIN_FREE_PACE = shard_load.MIN_FILLING_SHARE


@dataclasses.dataclass(slots=True)
class Verdict:
    """Whether a job is accepted; all but ``reason`` is '' or 0 if it is.

    :param reason: '' if it is accepted, or the reason code of the refusal
    :param detail: the refusal as text
    :param end_ms: the earliest wall time at which the job could end
    :param begin_ms: the earliest wall time at which it could begin in the
        capacity class that decides
    :param late_ms: its late limit
    :param ahead: work before it, in thousandths of a processor times ms
    :param work: its own work in the class
    :param rate: thousandths of processors at work for the class
    :param capacity_class: the ``shard_load.CapacityClass`` that decides
    """

    reason: str = ''
    detail: str = ''
    end_ms: float = 0.0
    begin_ms: float = 0.0
    late_ms: float = 0.0
    ahead: float = 0.0
    work: float = 0.0
    rate: float = 0.0
    capacity_class: shard_load.CapacityClass = None


@dataclasses.dataclass(slots=True)
class _Step:
    """A step of a submitted job.

    :param end_offset_ms: how long it takes from its begin to the job's end
    """

    record: jobs.StepRecord = None
    step_forecast: forecast.StepForecast = None
    end_offset_ms: float = 0.0

    @property
    def work(self):
        """Its work, in thousandths of a processor times ms."""
        workload = self.record.workload
        milli = workload.count * workload.resources.cpu_milli
        return milli * self.step_forecast.run_ms


class JobAdmission:
    """Decides on the submissions to one owner; not thread-safe."""

    def __init__(
        self,
        state,
        runtimes,
        tracker,
        began,
        returns=None,
        shares=None,
        max_job_bytes=math.inf,
    ):
        """Take what the decisions depend on.

        :param state: the ``state.ShardState``
        :param runtimes: a ``forecast.RunTimeModel``
        :param tracker: a ``shard_load.LoadTracker``
        :param began: when the owner began, on its monotonic clock in seconds
        :param returns: a schedule of returns; if None, an
            ``admission_defaults.NoReturns``
        :param shares: fair shares; if None, an ``admission_defaults.NoShares``
        :param max_job_bytes: memory that accepted jobs may take
        """
        self._max_job_bytes = max_job_bytes
        self._state = state
        self._runtimes = runtimes
        self._tracker = tracker
        self._returns = returns or admission_defaults.NoReturns()
        self._shares = shares or admission_defaults.NoShares()
        self._now = began
        self._sizes = worker_sizes.WorkerSizes()
        # Number of refusals by capacity class.
        self.refusals = collections.Counter()

    def start_pass(self, now):
        """Prepare for the submissions of one pass.

        :param now: on the owner's monotonic clock, in seconds
        """
        self._now = now
        self._tracker.forget_backlog()
        self._sizes.update(self._tracker.views, now)

    def decide(self, job, now_ms):
        """Decide on a submission that is not in the log.

        :param job: a valid ``data.Job``
        :param now_ms: wall time
        :returns: the :class:`Verdict`, and the ``data.Problem`` to answer, or
            None if the job is accepted
        """
        verdict = self._check_memory(job)
        if verdict.reason:
            useful = jobs.estimate_job_bytes(job) <= self._max_job_bytes
            offer = admission_defaults.ReturnOffer(
                now_ms + FULL_RETRY_MS, useful
            )
            return verdict, _make_problem(job, verdict, offer, now_ms)
        early = self._returns.find_early(job, now_ms, self._has_free_workers)
        if early is not None:
            known = self._returns.find_refusal(job)
            detail = f'it returns before its time; {known.detail}'
            verdict = Verdict(known.reason, detail)
            return verdict, _make_problem(job, verdict, early, now_ms)
        asked_ms = self._returns.find_asked_ms(job, now_ms)
        verdict = self.assess(job, now_ms, asked_ms)
        if not verdict.reason:
            return verdict, None
        if verdict.capacity_class is not None:
            self.refusals[verdict.capacity_class] += 1
        offer = self._returns.offer(job, verdict, now_ms)
        if verdict.reason == placement.REASON_NEVER:
            offer = admission_defaults.ReturnOffer()
        return verdict, _make_problem(job, verdict, offer, now_ms)

    def record_accepted(self, job, now_ms):
        """Count an accepted job in the backlog of this pass."""
        self._returns.record_accepted(job)
        record = self._state.jobs.get(job.id)
        if record is None or not _is_plain_batch(job):
            return
        for step in self._make_steps(job, record.unix_ms):
            workload = step.record.workload
            found = step.step_forecast
            row = class_backlog.StepLoad(
                class_backlog.make_order_key(workload, found, now_ms),
                step.work,
                found.late_ms,
                job.id,
            )
            self._tracker.add_step(workload, row)

    def _check_memory(self, job):
        """Return the :class:`Verdict` on a job by the memory that it takes."""
        needed = jobs.estimate_job_bytes(job)
        if self._state.job_bytes + needed <= self._max_job_bytes:
            return Verdict()
        detail = (
            f'it takes about {needed} bytes, and the jobs that are kept '
            f'{self._state.job_bytes} of {self._max_job_bytes}'
        )
        return Verdict(REASON_FULL, detail)

    def assess(self, job, now_ms, asked_ms):
        """Return the :class:`Verdict` on a job.

        :param now_ms: wall time
        :param asked_ms: wall time of the job's first submission
        """
        problem = self._find_unholdable_step(job)
        if problem is not None:
            return Verdict(placement.REASON_NEVER, problem.describe())
        if not self._may_be_late(job):
            return Verdict()
        steps = self._make_steps(job, asked_ms)
        short = [
            one
            for one in _list_own_classes(job)
            if self._tracker.is_short(one, self._now)
            and self._tracker.get_rate(one) >= shard_load.MIN_RATE
        ]
        if not short or self._has_free_workers(job):
            return Verdict()
        limit_ms = self._find_late_limit(job, asked_ms)
        for one in short:
            verdict = self._assess_class(job, steps, one, now_ms, limit_ms)
            if verdict.reason:
                return verdict
        return Verdict()

    def _find_unholdable_step(self, job):
        """Return why no VM can ever hold one of a job's steps, or None."""
        views = self._tracker.views
        reported = [view for view in views if view.largest.cpu_milli > 0]
        if self._sizes.is_waiting(views, self._now):
            return None
        for step in job.steps:
            pool_views = [
                view for view in reported if step.pool in ('', view.pool)
            ]
            problem = placement.check_placeable(step, pool_views)
            if problem is not None and not self._sizes.has_held(
                step.resources, step.pool
            ):
                return problem
        return None

    def _may_be_late(self, job):
        """Return whether a job may be refused as it would end too late.

        Without ``stretch`` the objective derives from the client's estimates,
        which may be wrong by 90%.
        """
        return (
            job.stretch > 0
            and _is_plain_batch(job)
            and self._runtimes.get_usual_ms(job.queue) is not None
        )

    def _has_free_workers(self, job):
        """Return whether a task of the job could begin at once."""
        ready = [step for step in job.steps if not step.after]
        return any(
            _has_room(view, step)
            for step in ready
            for view in self._tracker.views
        )

    def _find_late_limit(self, job, asked_ms):
        """Return the wall time after which a job is certainly of no use.

        The chain may be predicted too short if the estimate is wrong, so that
        the queue's usual run time counts if it is longer.
        """
        usual_ms = self._runtimes.get_usual_ms(job.queue)
        records = jobs.make_steps(job, 0, asked_ms)
        run_ms = [
            max(usual_ms, self._runtimes.predict(job.queue, record))
            for record in records
        ]
        chain_ms = max(jobs.compute_path_ms(job.steps, run_ms))
        objective_ms = jobs.compute_objective_ms(job, chain_ms)
        return asked_ms + jobs.LATE_FACTOR * objective_ms

    def _make_steps(self, job, asked_ms):
        """Return the :class:`_Step` values of a job that is not placed."""
        records = jobs.make_steps(job, 0, asked_ms)
        run_ms = [
            self._runtimes.predict(job.queue, record) for record in records
        ]
        chains = jobs.compute_path_ms(job.steps, run_ms)
        objective_ms = jobs.compute_objective_ms(job, max(chains))
        late_ms = asked_ms + jobs.LATE_FACTOR * objective_ms
        left = sum(
            step.count * step.resources.cpu_milli * one_ms
            for step, one_ms in zip(job.steps, run_ms, strict=True)
        )
        return [
            _Step(
                record,
                forecast.StepForecast(
                    left, one_ms, asked_ms + objective_ms - chain_ms, late_ms
                ),
                chain_ms,
            )
            for record, one_ms, chain_ms in zip(
                records, run_ms, chains, strict=True
            )
        ]

    def _assess_class(self, job, steps, capacity_class, now_ms, limit_ms):
        """Return the verdict on a job by the load of one short class."""
        rate = self._tracker.get_rate(capacity_class)
        loads = self._tracker.get_backlog(
            capacity_class, self._state, now_ms, self._shares.is_owed
        )
        due = self._sum_due_returns(job, capacity_class)
        own = [
            step
            for step in steps
            if _get_class(step.record.workload) == capacity_class
        ]
        work = sum(step.work for step in own)
        owed = self._shares.find_owed(job)
        verdict = Verdict(
            late_ms=limit_ms,
            work=work,
            rate=rate,
            capacity_class=capacity_class,
        )
        for step in own:
            queue = class_backlog.WorkBefore(loads, rate, due, now_ms)
            begin_ms = queue.find_begin(step)
            end_ms = _find_end(step, begin_ms, work, rate)
            if owed is not None:
                share, ids = owed
                rows = [one for one in loads.steps if one.job in ids]
                group = class_backlog.WorkBefore(
                    class_backlog.ClassBacklog(rows), rate * share, 0.0, now_ms
                )
                group_begin_ms = group.find_begin(step)
                group_end_ms = _find_end(
                    step, group_begin_ms, work, rate * share
                )
                if group_end_ms < end_ms:
                    begin_ms, end_ms = group_begin_ms, group_end_ms
            if end_ms > verdict.end_ms:
                verdict.end_ms, verdict.begin_ms = end_ms, begin_ms
                verdict.ahead = queue.ahead
        if verdict.end_ms > limit_ms:
            verdict.reason = REASON_LATE
            late_seconds = (verdict.end_ms - limit_ms) / 1000
            verdict.detail = (
                f'it would end {late_seconds:.1f} s after its late limit, '
                'even if the work before it took half the predicted time'
            )
        return verdict

    def _sum_due_returns(self, job, capacity_class):
        """Return the work of returning jobs that go before a new job."""
        due = [
            one
            for one in self._returns.list_due(capacity_class)
            if one.queue == job.queue
        ]
        if any(one.id == job.id for one in due):
            return 0.0
        return sum(one.work for one in due)


def _find_end(step, begin_ms, work, rate):
    """Return the earliest wall time at which the job of a step could end."""
    work_ms = class_backlog.estimate_least_ms(work, rate)
    return begin_ms + max(step.end_offset_ms, work_ms)


def _is_plain_batch(job):
    """Return whether a job runs once, at once, and to its end."""
    return not job.times and all(
        step.kind == data.Kind.BATCH for step in job.steps
    )


def _get_class(workload):
    """Return the capacity class that a step belongs to."""
    return shard_load.list_classes(workload.pool, workload.fills)[-1]


def _list_own_classes(job):
    """Return the classes of a job's steps, each once, in order."""
    return list(dict.fromkeys(map(_get_class, job.steps)))


def _has_room(view, step):
    """Return whether a VM has capacity for a task that it does not use."""
    if view.closed or not view.suits(step):
        return False
    if not step.reserved.fits(view.room):
        return False
    if not step.fills:
        return True
    last = precedence.LAST_WEIGHT
    return (
        view.compute_idle_milli(last) >= step.resources.cpu_milli
        and view.predict_pace(step, last) >= MIN_FREE_PACE
    )


def _make_problem(job, verdict, offer, now_ms):
    """Return the ``data.Problem`` of a refusal."""
    retry_ms = 0
    remedy = 'a retry does not help'
    if offer.useful:
        retry_ms = max(1, math.ceil(offer.at_ms - now_ms))
        remedy = f'submit it again after {retry_ms} ms'
    return data.Problem(
        CODE_NO_ROOM,
        'job',
        job.id,
        f'{verdict.reason}: {verdict.detail}',
        remedy,
        retry_ms,
    )

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Finds callers and zones that a shortage serves too little.

Within a queue, the least work left goes first. During a shortage, a caller
that submits many small jobs can thereby displace all others. For each queue
and dimension (caller, zone), decaying sums of submitted and of
done work tell which groups get much less than their share of the submitted
work. Of each such group one job at a time is promoted, until it ends or is
late, so that it is finished and not only begun.

The sums live in the owner's memory. A new owner promotes no job until it has
measured a group for half of the mean objective of its queue.
"""

import dataclasses

from portwharf.core import data
from portwharf.scheduler.decisions import job_outlook
from portwharf.scheduler.decisions import queue_work

# Interval between two updates: each walks over the jobs that have not ended.
UPDATE_INTERVAL_SECONDS = 0.5
# Promotions outlast interruptions of a shortage up to this long.
_RELEASE_SECONDS = 2.0
# Share of the time that a job may wait after which it counts as waiting long.
_LONG_WAIT_SHARE = 0.5
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class OwedGroup:
    """A group of jobs that is owed capacity.

    :param submitted: its share of the queue's submitted work
    :param done: its share of the queue's done work
    :param promoted: id of its promoted job
    """

    queue: str = ''
    dimension: str = ''
    name: str = ''
    submitted: float = 0.0
    done: float = 0.0
    promoted: str = ''


@dataclasses.dataclass(slots=True)
class TrackedJob:
    """A job that has not ended.

    :param record: its ``state.JobRecord``
    :param steps: ``state.WorkloadRecord`` of its steps; the state may have
        dropped them
    :param keys: keys of its groups
    :param task_work: work of one task, by step, as predicted at submission
    :param work: work of all tasks
    :param done: work of the tasks that have succeeded
    :param decay_exponent: that of its ``queue_work.QueueWork`` when its work
        was counted
    :param began: monotonic time of its first submission
    :param fills: whether all of its steps are filling ones
    :param idle_since: time since which none of its tasks has been placed;
        kept for jobs that don't fill
    """

    record: object = None
    steps: list = dataclasses.field(default_factory=list)
    keys: list = dataclasses.field(default_factory=list)
    task_work: list = dataclasses.field(default_factory=list)
    work: float = 0.0
    done: float = 0.0
    decay_exponent: float = 0.0
    began: float = 0.0
    fills: bool = False
    idle_since: float = 0.0


class ShortageShares:
    """Decides which jobs are promoted; not thread-safe."""

    def __init__(self, state):
        """Take the shard's ``state.ShardState``."""
        self._state = state
        self._updated = None
        self._queues = {}
        # ``TrackedJob`` by id.
        self._jobs = {}
        # Monotonic time at which a promoted job is late, by job id, and when
        # its capacity class was last short.
        self._promoted = {}
        self._last_short = {}
        self._owed = []
        self._long_waits = set()

    def is_owed(self, record):
        """Return whether a step's job is promoted.

        :param record: a ``state.WorkloadRecord``
        """
        return record.workload.job in self._promoted

    def has_waited_long(self, record):
        """Return whether a step's job has waited for half of what it may.

        Never so for filling steps: served in this order, a queue under
        overload earns clearly less and the jobs that waited gain nothing.
        """
        workload = record.workload
        return not workload.fills and workload.job in self._long_waits

    def list_owed(self):
        """Return the :class:`OwedGroup` of each group owed capacity."""
        return list(self._owed)

    def list_promoted(self):
        """Return the ids of the promoted jobs."""
        return list(self._promoted)

    def count_groups(self):
        """Return the number of groups of all queues."""
        return sum(len(queue.groups) for queue in self._queues.values())

    def list_shares(self):
        """Return each group's shares of submitted and of done work."""
        return [
            queue.get_shares(key)
            for queue in self._queues.values()
            for key in queue.groups
        ]

    def find_owed(self, job):
        """Return the share of its queue's work that a job's group is owed.

        :param job: a ``data.Job`` that need not have been accepted
        :returns: the share, and the set of ids of the group's jobs that have
            not ended; None if no group of the job is owed capacity
        """
        keys = queue_work.list_keys(job)
        groups = [
            group
            for group in self._owed
            if group.queue == job.queue
            and (group.dimension, group.name) in keys
        ]
        if not groups:
            return None
        best = max(groups, key=lambda group: group.submitted)
        key = (best.dimension, best.name)
        ids = {
            job_id
            for job_id, known in self._jobs.items()
            if known.record.job.queue == job.queue and key in known.keys
        }
        return best.submitted, ids

    def update(self, weigher, now, now_ms, is_short, get_rate):
        """Update sums and promotions, at most once each interval.

        :param weigher: the ``precedence.Weigher`` of the pass
        :param now: monotonic time
        :param now_ms: wall time
        :param is_short: function from a ``shard_load.CapacityClass`` to
            whether it is short
        :param get_rate: function from a class to the thousandths of
            processors at work for it, 0 if unknown
        """
        elapsed = now - self._updated if self._updated is not None else 0.0
        if self._updated is not None and elapsed < UPDATE_INTERVAL_SECONDS:
            return
        self._updated = now
        for queue in self._queues.values():
            queue.decay(elapsed)
        self._track_jobs(weigher, now, now_ms)
        outlooks = job_outlook.Outlooks(
            self._state, weigher, now, is_short, get_rate
        )
        self._end_promotions(outlooks, now)
        self._promote(outlooks, now)
        self._find_long_waits(outlooks, now)

    def _track_jobs(self, weigher, now, now_ms):
        """Count what was submitted and done since the last update."""
        unended = dict.fromkeys(
            record.workload.job for record in self._state.unended.values()
        )
        for job_id, job in list(self._jobs.items()):
            self._count_done(job, now)
            # An id may be accepted again after its job was dropped.
            is_known = self._state.jobs.get(job_id) is job.record
            if is_known and job_id in unended and not job.record.cancelled:
                continue
            del self._jobs[job_id]
            self._promoted.pop(job_id, None)
            self._last_short.pop(job_id, None)
            if job.record.cancelled:
                # The rest of it is not wanted any more.
                queue = self._queues[job.record.job.queue]
                undone = job.work - job.done
                queue.withdraw(job.keys, undone, job.decay_exponent)
        for job_id in unended:
            if job_id and job_id not in self._jobs:
                record = self._state.jobs[job_id]
                if _has_objective(record.job) and not record.cancelled:
                    self._jobs[job_id] = self._add_job(
                        record, weigher, now, now_ms
                    )
        used = {job.record.job.queue for job in self._jobs.values()}
        self._queues = {
            name: queue
            for name, queue in self._queues.items()
            if name in used or queue.total.submitted >= 1
        }

    def _add_job(self, record, weigher, now, now_ms):
        queue = self._queues.setdefault(
            record.job.queue, queue_work.QueueWork(now)
        )
        steps = [self._state.workloads[name] for name in record.steps]
        found = [weigher.get_step_forecast(step) for step in steps]
        task_work = [
            step.workload.resources.cpu_milli * forecast.run_ms
            for step, forecast in zip(steps, found, strict=True)
        ]
        work = sum(
            step.workload.count * each
            for step, each in zip(steps, task_work, strict=True)
        )
        begin_ms = record.job.asked_ms or record.unix_ms
        queue.record_job(job_outlook.compute_objective_ms(record.job, found))
        job = TrackedJob(
            record,
            steps,
            queue_work.list_keys(record.job),
            task_work,
            work,
            decay_exponent=queue.decay_exponent,
            # Times are kept on the monotonic clock, as the wall clock may
            # jump.
            began=now - (now_ms - begin_ms) / _MS_PER_SECOND,
            fills=all(step.workload.fills for step in steps),
            idle_since=now,
        )
        job.done = _sum_done(job)
        queue.submit(job.keys, work - job.done, now)
        return job

    def _count_done(self, job, now):
        done = _sum_done(job)
        queue = self._queues[job.record.job.queue]
        queue.finish(job.keys, done - job.done)
        job.done = done
        if not job.fills and self._has_placed(job):
            job.idle_since = now

    def _has_placed(self, job):
        return any(
            task.vm
            for step in job.steps
            if not self._state.is_done(step)
            for task in step.tasks
        )

    def _end_promotions(self, outlooks, now):
        for job_id, late_at in list(self._promoted.items()):
            if outlooks.get(self._jobs[job_id]).is_short:
                self._last_short[job_id] = now
            interrupted = now - self._last_short[job_id]
            if now >= late_at or interrupted > _RELEASE_SECONDS:
                del self._promoted[job_id]
                del self._last_short[job_id]

    def _promote(self, outlooks, now):
        """Promote a job of each group that is owed capacity."""
        members = {
            (name, key): []
            for name, queue in self._queues.items()
            for key in queue.list_underserved(now)
        }
        for job in self._jobs.values():
            for key in job.keys:
                found = members.get((job.record.job.queue, key))
                if found is not None:
                    found.append(job)
        self._owed = []
        for (name, key), group in members.items():
            chosen = self._choose(group, outlooks)
            if chosen is None:
                continue
            job_id = chosen.record.job.id
            if job_id not in self._promoted:
                self._promoted[job_id] = outlooks.get(chosen).due_at
                self._last_short[job_id] = now
            shares = self._queues[name].get_shares(key)
            self._owed.append(OwedGroup(name, *key, *shares, job_id))

    def _choose(self, group, outlooks):
        """Return the promoted job of a group, a new one, or None."""
        for job in group:
            if job.record.job.id in self._promoted:
                return job
        found = [
            (outlooks.get(job).left, job.record.job.id, job)
            for job in group
            if outlooks.get(job).is_short and outlooks.get(job).can_end
        ]
        return min(found)[-1] if found else None

    def _find_long_waits(self, outlooks, now):
        self._long_waits = {
            job_id
            for job_id, job in self._jobs.items()
            if not job.fills
            and now > job.idle_since
            and outlooks.get(job).is_short
            and outlooks.get(job).can_end
            and now - job.idle_since
            > _LONG_WAIT_SHARE * outlooks.get(job).may_wait
        }


def _has_objective(job):
    """Return whether a job runs once, ends, and has an objective."""
    return (
        not job.times
        and bool(job.stretch or job.objective_ms)
        and all(step.kind == data.Kind.BATCH for step in job.steps)
    )


def _sum_done(job):
    return sum(
        step.succeeded * each
        for step, each in zip(job.steps, job.task_work, strict=True)
    )

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which occurrences of recurring jobs have workloads.

An occurrence gets its workloads once it is due, and is only counted once it
has succeeded: what a job costs follows from what is due and has not ended.
Once the workloads of a job or of the shard take much memory, occurrences that
are due wait for others to end. Each job has at least one.

The schedule lives in the owner's memory and is computed from the state, which
has no clock of its own.
"""

import heapq
import logging

from portwharf.core import logs
from portwharf.scheduler import events
from portwharf.scheduler import jobs
from portwharf.scheduler import metrics

LOG = logging.getLogger(__name__)

# Memory of the workloads of all recurring jobs, beyond which a job gets one
# occurrence at a time.
MAX_SHARD_BYTES = 12 * 2**20


class OccurrenceSchedule:
    """Tells when occurrences get workloads; not thread-safe."""

    def __init__(self, state):
        """Take the ``state.ShardState``."""
        self._state = state
        # (due time in ms, job id) of each job with occurrences to come.
        self._due = []
        # (job id, occurrence) whose workloads may all have succeeded.
        self._ended = set()
        # Ids of jobs with occurrences that are due and wait for others.
        self._held_back = set()
        for record in state.jobs.values():
            self.add(record)
            if record.job.times:
                self._ended.update(
                    jobs.split_step_id(name)[:2] for name in record.steps
                )

    def add(self, record):
        """Add an accepted job, a ``state.JobRecord``."""
        if record.may_expand:
            due_ms = jobs.find_due_ms(record.job, record.expanded)
            heapq.heappush(self._due, (due_ms, record.job.id))

    def record_task_end(self, workload):
        """Record that a task of a workload has ended, by the workload's id."""
        job_id, occurrence, _ = jobs.split_step_id(workload)
        if self._state.jobs[job_id].job.times:
            self._ended.add((job_id, occurrence))

    def make_due_events(self, now_ms):
        """Return the ``events.OccurrencesDue`` of a pass.

        They have to be applied before the next call.

        :param now_ms: wall time
        """
        made, waiting, held_back = [], [], set()
        room = None
        while self._due and self._due[0][0] <= now_ms:
            job_id = heapq.heappop(self._due)[1]
            record = self._state.jobs.get(job_id)
            if record is None or not record.may_expand:
                continue
            if room is None:
                room = MAX_SHARD_BYTES - self._estimate_bytes()
            due = jobs.count_due(record.job, now_ms)
            added = min(due - record.expanded, _find_room(record, room))
            until = record.expanded + max(0, added)
            if until > record.expanded:
                room -= added * jobs.estimate_occurrence_bytes(record.job)
                made.append(events.OccurrencesDue(job_id, until))
            if until < due:
                held_back.add(job_id)
            if until < record.job.times:
                due_ms = jobs.find_due_ms(record.job, until)
                waiting.append((due_ms, job_id))
        for entry in waiting:
            heapq.heappush(self._due, entry)
        self._log_held_back(held_back)
        return made

    def make_drop_events(self):
        """Return the ``events.OccurrencesDropped`` of a pass."""
        numbers = {}
        for job_id, occurrence in sorted(self._ended):
            record = self._state.jobs.get(job_id)
            if record is not None and self._has_succeeded(record, occurrence):
                numbers.setdefault(job_id, []).append(occurrence)
        self._ended.clear()
        return [events.OccurrencesDropped(*row) for row in numbers.items()]

    def _has_succeeded(self, record, occurrence):
        """Return whether an occurrence has succeeded and is not dropped."""
        steps = [
            self._state.workloads.get(name)
            for name in record.list_occurrence(occurrence)
        ]
        return not record.cancelled and all(
            step is not None and self._state.is_done(step) for step in steps
        )

    def _estimate_bytes(self):
        """Return the memory of the workloads of all recurring jobs."""
        return sum(
            _estimate_bytes(record)
            for record in self._state.jobs.values()
            if record.job.times
        )

    def _log_held_back(self, held_back):
        """Log the jobs whose due occurrences begin to wait for others."""
        for job_id in held_back - self._held_back:
            record = self._state.jobs[job_id]
            extra = logs.fields(request=job_id, count=len(record.steps))
            LOG.warning('due occurrences are held back', extra=extra)
        self._held_back = held_back
        metrics.HELD_BACK_JOBS.set(len(held_back))


def _estimate_bytes(record):
    """Return the memory of a recurring job's workloads.

    :param record: a ``state.JobRecord``
    """
    count = len(record.steps) // len(record.job.steps)
    return count * jobs.estimate_occurrence_bytes(record.job)


def _find_room(record, room):
    """Return how many more occurrences of a job may get workloads.

    :param record: a ``state.JobRecord``
    :param room: memory that the workloads of all recurring jobs may take
    """
    room = min(room, jobs.MAX_RECURRING_BYTES - _estimate_bytes(record))
    least = 0 if record.steps else 1
    return max(least, room // jobs.estimate_occurrence_bytes(record.job))

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which jobs a worker has begun, by the reports that an owner has.

A task that was placed may have been refused, or its start not answered, so the
log does not tell. A new owner learns of running tasks from the full reports of
its members; a job of which it has none counts as pending again.
"""

from portwharf.core import data

_BEGUN_STATES = frozenset(
    (
        data.RunState.RUNNING,
        data.RunState.SUCCEEDED,
        data.RunState.FAILED,
        data.RunState.CHECKPOINTED,
    )
)


class BegunJobs:
    """The jobs with a task that has begun."""

    def __init__(self, state):
        """Take the ``state.ShardState``."""
        self._state = state
        self._ids = set()

    def record_report(self, report):
        """Process a ``messages.TaskReport``."""
        record = self._state.find_workload(report.task)
        if record is not None and report.state in _BEGUN_STATES:
            self._ids.add(record.workload.job)

    def count_pending(self, queue):
        """Return how many jobs of a queue have not begun, '' for all."""
        return sum(
            1
            for record in self._state.jobs.values()
            if queue in ('', record.job.queue) and self._is_pending(record)
        )

    def forget_ended(self):
        """Forget the jobs that the state does not have any more."""
        self._ids &= self._state.jobs.keys()

    def _is_pending(self, record):
        job_id = record.job.id
        state = self._state.find_job_state(job_id)
        if state == data.JobState.QUEUED:
            return True
        if state != data.JobState.RUNNING or job_id in self._ids:
            return False
        if record.succeeded:
            return False
        steps = (self._state.workloads[name] for name in record.steps)
        return not any(step.succeeded for step in steps)

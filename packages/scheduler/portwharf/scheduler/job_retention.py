# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How long ended jobs are kept, for clients that still ask for them.

The log does not tell when a job ended, so its age counts from when this owner
has first seen that it had. A new owner keeps jobs for longer.
"""

from portwharf.core import data
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler import jobs

# Time for which every ended job is kept. Clients may ask for it, or submit it
# again.
KEEP_SECONDS = 180
# Share of the memory for jobs beyond which no ended one is kept longer.
_FULL_SHARE = 0.5


class JobRetention:
    """Tells which ended jobs to drop from the state; not thread-safe."""

    def __init__(self, state, max_job_bytes):
        """Take the ``state.ShardState``.

        :param max_job_bytes: memory that all jobs may take
        """
        self._state = state
        self._max_job_bytes = max_job_bytes
        # Monotonic time at which each job was first seen to have ended.
        self._ended_at = {}

    def list_expired(self, now, now_ms):
        """Return the ids of the ended jobs to drop, the oldest first.

        :param now: monotonic time
        :param now_ms: wall time
        """
        ended = [
            record
            for record in self._state.jobs.values()
            if self._has_ended(record)
        ]
        self._ended_at = {
            record.job.id: self._ended_at.get(record.job.id, now)
            for record in ended
        }
        surplus = max(0, len(ended) - pass_inputs.MAX_ENDED)
        surplus = max(surplus, self._count_surplus(ended))
        limit_ms = now_ms - pass_inputs.KEEP_ENDED_SECONDS * 1000
        return [
            record.job.id
            for number, record in enumerate(ended)
            if now - self._ended_at[record.job.id] >= KEEP_SECONDS
            and (number < surplus or record.unix_ms < limit_ms)
        ]

    def _count_surplus(self, ended):
        """Return how many ended jobs, from the first, take too much memory.

        :param ended: list of ``state.JobRecord``
        """
        excess = self._state.job_bytes - _FULL_SHARE * self._max_job_bytes
        for number, record in enumerate(ended):
            if excess <= 0:
                return number
            excess -= jobs.estimate_job_bytes(record.job)
        return len(ended)

    def _has_ended(self, record):
        """Return whether a job has ended and none of its tasks runs."""
        state = self._state.find_job_state(record.job.id)
        return state in data.ENDED_JOB_STATES and all(
            self._state.has_ended(self._state.workloads[name])
            for name in record.steps
        )

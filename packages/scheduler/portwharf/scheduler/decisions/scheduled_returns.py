# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Lets admission control use the schedule of returns.

Admission control refuses a job only if it would be of no use even with the
most favourable predictions. A retry helps if the work before it vanishes
sooner than predicted, as jobs are cancelled or workers return. It is offered
for the middle of the time that is left: a later one would leave no time for
another retry, and an earlier one would find the same work before it.
"""

from portwharf.scheduler.decisions import return_schedule

_LEFT_SHARE = 0.5


class ScheduledReturns:
    """The schedule of returns, as ``job_admission.JobAdmission`` needs it.

    The interface is that of ``admission_defaults.NoReturns``.
    """

    def __init__(self, schedule, is_short):
        """Take the owner's ``return_schedule.ReturnSchedule``.

        :param is_short: function of a ``shard_load.CapacityClass`` that tells
            whether it is short now
        """
        self._schedule = schedule
        self._is_short = is_short

    def find_early(self, job, now_ms, has_free_workers):
        """Return the offer of a job that returns too early, or None.

        A class may be short of capacity for large tasks while a small task
        of the job could begin.
        """
        known = self._schedule.find(job.id)
        if known is None:
            return None
        is_short = self._is_short(
            known.refusal.capacity
        ) and not has_free_workers(job)
        return self._schedule.check(job.id, now_ms, is_short)

    def find_refusal(self, job):
        """Return the ``return_schedule.Refusal`` of a job, or None."""
        known = self._schedule.find(job.id)
        return known.refusal if known is not None else None

    def find_asked_ms(self, job, now_ms):
        """Return the wall time of a job's first submission."""
        return self._schedule.get_asked_ms(job.id, now_ms) or now_ms

    def list_due(self, capacity_class):
        """Return the jobs of a class whose time to return has come."""
        return self._schedule.list_due(capacity_class)

    def offer(self, job, verdict, now_ms):
        """Return the ``return_schedule.ReturnOffer`` of a refused job."""
        chain_ms = verdict.end_ms - verdict.begin_ms
        left_ms = verdict.late_ms - chain_ms - now_ms
        asked_ms = self.find_asked_ms(job, now_ms)
        refusal = return_schedule.Refusal(
            verdict.reason,
            verdict.detail,
            verdict.capacity_class,
            _LEFT_SHARE * max(0.0, left_ms),
            verdict.rate,
            verdict.work,
            chain_ms,
            max(0.0, verdict.late_ms - asked_ms),
            is_permanent=verdict.capacity_class is None,
        )
        return self._schedule.offer(job, refusal, now_ms)

    def record_accepted(self, job):
        """Forget a job, which is accepted."""
        self._schedule.accept(job.id)

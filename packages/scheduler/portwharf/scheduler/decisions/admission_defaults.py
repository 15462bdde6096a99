# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What admission of jobs uses without a schedule of returns or fair shares.

The classes state the interfaces that ``job_admission.JobAdmission`` needs.
"""

import dataclasses

# Bounds on the delay of a retry. An older submission of the same id may be in
# progress for 2 s; clients do not wait for longer than 30 s.
MIN_RETRY_MS = 2_000
MAX_RETRY_MS = 30_000


@dataclasses.dataclass(slots=True)
class ReturnOffer:
    """When a refused job should be submitted again.

    :param at_ms: wall time from which it may return
    :param useful: whether it may still be accepted then
    """

    at_ms: float = 0.0
    useful: bool = False


class NoReturns:
    """Offers a time to each refused job and remembers none.

    This is the interface that :class:`JobAdmission` needs of a schedule of
    returns.
    """

    def find_early(self, job, now_ms, has_free_workers):
        """Return the offer of a job that returns too early, or None.

        :param has_free_workers: function of a job that tells whether one of
            its tasks could begin at once
        """

    def find_refusal(self, job):
        """Return the last refusal of a job, or None if it is not known.

        :returns: an object with ``reason`` and ``detail``
        """

    def find_asked_ms(self, job, now_ms):
        """Return the wall time of a job's first submission."""
        return now_ms

    def list_due(self, capacity_class):
        """Return the jobs of a capacity class whose time to return has come.

        :returns: objects with ``id``, ``queue`` and ``work``
        """
        return ()

    def offer(self, job, verdict, now_ms):
        """Return the :class:`ReturnOffer` for a job that is refused.

        This is half of the time that is left until the job could not end
        before its late limit, begun at once: nearer to that, no time would be
        left for another retry.
        """
        chain_ms = verdict.end_ms - verdict.begin_ms
        left_ms = verdict.late_ms - chain_ms - now_ms
        wait_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, left_ms / 2))
        return ReturnOffer(now_ms + wait_ms, wait_ms <= left_ms)

    def record_accepted(self, job):
        """Forget a job, which is accepted."""


class NoShares:
    """Owes no capacity to anyone; the interface needed of fair shares."""

    def is_owed(self, record):
        """Return whether the job of a workload record is promoted."""
        return False

    def find_owed(self, job):
        """Return the share of the rate that the job's group is owed.

        :returns: (share, 0 to 1, and the ids of the group's jobs that have
            not ended), or None if it is owed nothing
        """

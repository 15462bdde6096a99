# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Renews the leases of the attempts on a worker while a grant is valid.

The end of a lease is a time on the worker's clock. A lease ends
``limits.lease`` seconds after the grant that it was renewed under, which
leaves time to save the work if no new grant arrives.
"""

import logging

from portwharf.core import data
from portwharf.core import logs
from portwharf.scheduler import limits
from portwharf import workers

LOG = logging.getLogger(__name__)

_MS_PER_SECOND = 1000


class LeaseKeeper:
    """Keeps the leases of one worker; used only by the agent's thread."""

    def __init__(self, worker, guard, cfg, started_at):
        """Initialise the keeper.

        :param worker: the ``workers.Worker``
        :param guard: the side's ``GrantGuard``
        :param cfg: ``limits.Limits``
        :param started_at: start of this side process on the monotonic clock,
            in seconds
        """
        self._started_at = started_at
        self._worker = worker
        self._guard = guard
        self._limits = cfg
        self._stopped = set()
        self._listing = workers.Listing()
        self._listed_at = 0.0
        # The latest lease end that was sent, in ms on the worker's clock.
        self._max_lease_end_ms = 0

    def update_listing(self, listing, listed_at):
        """Take a listing and the monotonic time just after it was read."""
        self._listing = listing
        self._listed_at = listed_at
        for attempt in listing.attempts:
            self._max_lease_end_ms = max(
                self._max_lease_end_ms, attempt.lease_until_ms
            )

    def reset(self):
        """Forget the leases sent to an earlier incarnation of the worker."""
        self._max_lease_end_ms = 0

    def have_all_expired(self, now):
        """Tell whether every lease that was ever sent has expired.

        Unanswered renewals count as sent. The worker's clock may be slow by
        ``limits.MAX_CLOCK_DRIFT``.
        """
        if now - self._started_at <= self._limits.replace_after_grant:
            # The side's previous process may have granted a lease just before
            # it ended.
            return False
        left = (self._max_lease_end_ms - self._listing.now_ms) / _MS_PER_SECOND
        return now - self._listed_at > left * (1 + limits.MAX_CLOCK_DRIFT)

    def compute_lease_end_ms(self):
        """Return when a lease may end, in ms on the worker's clock.

        The worker read its clock at or before ``listed_at``, so the result is
        never too late.
        """
        left = self._guard.granted_until - self._listed_at
        until = (
            self._listing.now_ms + (left + self._limits.lease) * _MS_PER_SECOND
        )
        self._max_lease_end_ms = max(self._max_lease_end_ms, int(until))
        return max(1, int(until))

    def renew_or_stop(self):
        """Renew leases under a grant; without one, save and stop.

        A side that has just restarted has no grant yet, but its leases often
        have time left.
        """
        held = [
            a
            for a in self._listing.attempts
            if a.lease_until_ms and a.state == data.RunState.RUNNING
        ]
        if not held:
            self._stopped.clear()
            return
        if self._guard.is_granted():
            self._stopped.clear()
            self._worker.renew(self.compute_lease_end_ms())
            return
        self._stop_expiring(held)

    def _stop_expiring(self, held):
        """Save and stop attempts whose leases are about to expire.

        The first stop without an answer ends the round until the next poll:
        each costs a full time-out, which delays the heartbeat that could bring
        a grant.
        """
        for attempt in held:
            name = (attempt.task, attempt.attempt)
            left = attempt.lease_until_ms - self._listing.now_ms
            if (
                name in self._stopped
                or left > self._limits.lease * _MS_PER_SECOND
            ):
                continue
            extra = logs.fields(task=attempt.task, attempt=attempt.attempt)
            LOG.warning('no grant, stopping attempt', extra=extra)
            answer = self._worker.stop(attempt.task, attempt.attempt, True)
            if answer.is_err():
                return
            self._stopped.add(name)

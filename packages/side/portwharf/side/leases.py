# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Keeps the leases of what runs on the worker, while there is a grant.

A lease is given as a point in time on the worker's clock. It ends
``limits.lease`` after the grant that it was renewed under, which is the
time to save the work in when no new grant comes.
"""

import logging

from portwharf.core import data
from portwharf.core import logs
from portwharf.scheduler import limits
from portwharf import workers

LOG = logging.getLogger(__name__)

_MS = 1000


class LeaseKeeper:
    """The leases of one worker, for the agent's thread."""

    def __init__(self, worker, guard, cfg, began):
        """Take the worker, the side's ``Guard`` and its ``Limits``.

        :param began: our clock when this life of the side began
        """
        self._began = began
        self._worker = worker
        self._guard = guard
        self._limits = cfg
        self._stopped = set()
        self._listing = workers.Listing()
        self._listed_at = 0.0
        # The latest end that was ever sent, on the worker's clock.
        self._sent_ms = 0

    def take_listing(self, listing, listed_at):
        """Take a listing and the time on our clock just after it."""
        self._listing = listing
        self._listed_at = listed_at
        for attempt in listing.attempts:
            self._sent_ms = max(self._sent_ms, attempt.lease_until_ms)

    def begin_anew(self):
        """Forget the leases of a worker that has begun anew."""
        self._sent_ms = 0

    def have_lapsed(self, now):
        """Tell whether no lease that was ever sent can still run.

        What was sent without an answer counts; the worker's clock may be
        slow by ``limits.DRIFT``.
        """
        if now - self._began <= self._limits.replace_after_grant:
            # A former life of the side may have given one at its end.
            return False
        left = (self._sent_ms - self._listing.now_ms) / _MS
        return now - self._listed_at > left * (1 + limits.DRIFT)

    def compute_end(self):
        """Return when a lease may end, on the worker's clock, in ms.

        The listing's time is at or before ``listed_at`` on our clock, so
        that this comes out early and never late.
        """
        left = self._guard.granted_until - self._listed_at
        until = self._listing.now_ms + (left + self._limits.lease) * _MS
        self._sent_ms = max(self._sent_ms, int(until))
        return max(1, int(until))

    def keep(self):
        """Renew leases under a grant; past it, save and stop.

        A side that has just restarted has no grant yet but often leases
        with more time left.
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
            self._worker.renew(self.compute_end())
            return
        self._stop_all(held)

    def _stop_all(self, held):
        """Save and stop what has little of its lease left.

        A stop that is not answered ends it until the next look: each costs
        the time that an answer is waited for, and the beat that would bring
        a grant waits as long.
        """
        for attempt in held:
            name = (attempt.task, attempt.attempt)
            left = attempt.lease_until_ms - self._listing.now_ms
            if name in self._stopped or left > self._limits.lease * _MS:
                continue
            extra = logs.fields(task=attempt.task, attempt=attempt.attempt)
            LOG.warning('no grant: stopping', extra=extra)
            answer = self._worker.stop(attempt.task, attempt.attempt, True)
            if answer.is_err():
                return
            self._stopped.add(name)

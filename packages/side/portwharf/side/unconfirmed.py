# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tracks starts and stops that the worker has not confirmed.

A start without an answer may have been carried out, or may be seconds later.
The side therefore sends a stop of the same attempt: once the worker has
confirmed the stop, the attempt does not run, and a delayed start of it is
refused. Only then is the owner told that the attempt is gone. If the worker
does not answer stops either, the start is revoked after the end of its lease.
The owner is also told once every lease has expired or the worker is known to
be absent. A stop is sent again until the listing shows that the attempt has
ended.
"""

import dataclasses
import logging

from portwharf.core import bounded_cache
from portwharf.core import data
from portwharf.core import logs

LOG = logging.getLogger(__name__)

# Tasks whose highest started attempt is remembered.
MAX_STARTED = 20_000
# Time for a stop to take effect before it is sent again.
STOP_RETRY_SECONDS = 0.6


@dataclasses.dataclass(slots=True)
class UnconfirmedStart:
    """A start that the worker has not confirmed.

    :param size: the resources that the attempt uses if it runs
    :param lease_until_ms: end of its lease on the worker's clock, 0 for no
        lease
    :param life: the incarnation of the worker that it was sent to
    """

    size: data.Resources
    lease_until_ms: int = 0
    life: data.IncarnationId = data.IncarnationId()

    def has_expired(self, listing):
        """Tell whether the worker that sent a listing may not begin it."""
        if listing.life != self.life:
            return True
        return 0 < self.lease_until_ms < listing.now_ms


class UnconfirmedCommands:
    """Starts and stops that the worker has not confirmed yet."""

    def __init__(self, on_listing=lambda listing: None):
        """Start without any.

        :param on_listing: called with each ``workers.Listing`` that is read
            here, before the starts that it shows count as confirmed: these
            attempts must be known from then on
        """
        self._on_listing = on_listing
        # The :class:`UnconfirmedStart` by (task, attempt), in the order in
        # which stops are sent.
        self._starts = {}
        # Attempts to stop, by (task, attempt): whether to checkpoint the
        # attempt, and the time at which the stop was last sent, or None.
        self._stops = {}
        # The highest attempt of each task that may have started here.
        self._started = bounded_cache.BoundedCache(MAX_STARTED)

    def record_start(self, task, attempt):
        """Record that an attempt may have started here."""
        self._started.put(task, max(attempt, self._started.get(task, 0)))

    def has_started(self, task, attempt):
        """Tell whether an attempt, or a later one, may have started here."""
        return attempt <= self._started.get(task, 0)

    def add_start(
        self, task, attempt, size, lease_until_ms=0, life=data.IncarnationId()
    ):
        """Record a start that the worker has not confirmed.

        The parameters are those of :class:`UnconfirmedStart`.
        """
        start = UnconfirmedStart(size, lease_until_ms, life)
        self._starts[(task, attempt)] = start
        extra = logs.fields(task=task, attempt=attempt)
        LOG.warning('start not confirmed by the worker', extra=extra)

    def is_start_unconfirmed(self, task, attempt):
        """Tell whether a start of an attempt is still unconfirmed."""
        return (task, attempt) in self._starts

    def add_stop(self, task, attempt, checkpoint):
        """Have an attempt stopped; the stop is sent until it takes effect."""
        self._stops[(task, attempt)] = (checkpoint, None)

    def list_starts(self):
        """Return the unconfirmed starts, as a list of (task, attempt)."""
        return list(self._starts)

    def sum_resources(self):
        """Return the resources that all unconfirmed starts may use."""
        used = data.Resources()
        for start in self._starts.values():
            used = used.add(start.size)
        return used

    def settle_starts(self, worker, listing):
        """Find out which unconfirmed starts will never run.

        :param listing: the latest ``workers.Listing``
        :returns: names of attempts that will never run, as a list of (task,
            attempt)
        """
        if listing.absent:
            return self.abandon_starts(worker)
        self._drop_listed(listing)
        stopped = self._stop_starts(worker)
        if not stopped:
            return []
        # An attempt that was running when its stop arrived is listed now.
        polled = worker.read_listing()
        if polled.is_err():
            return []
        self._on_listing(polled.ok_value)
        return self._drop_unlisted(stopped, polled.ok_value)

    def revoke_expired_starts(self, worker, listing):
        """Revoke the unconfirmed starts whose leases have expired.

        :param listing: the latest ``workers.Listing``
        :returns: names of attempts that will never run, as a list of (task,
            attempt)
        """
        expired = [
            name
            for name, start in self._starts.items()
            if start.has_expired(listing)
        ]
        if not expired:
            return []
        revoked = worker.revoke_expired_starts()
        if revoked.is_err():
            LOG.warning('expired starts not revoked: %s', revoked.err_value)
            return []
        self._on_listing(revoked.ok_value)
        gone = self._drop_unlisted(expired, revoked.ok_value)
        for name in gone:
            extra = logs.fields(task=name[0], attempt=name[1])
            LOG.warning('expired start revoked', extra=extra)
        return gone

    def _drop_listed(self, listing):
        for attempt in listing.attempts:
            self._starts.pop((attempt.task, attempt.attempt), None)

    def _drop_unlisted(self, names, listing):
        """Drop the starts that a listing settles.

        :param names: (task, attempt) of starts that the worker ignores now
        :returns: the names of those that have not been carried out
        """
        self._drop_listed(listing)
        if listing.is_truncated:
            # They may have been carried out, and have ended.
            return []
        gone = [name for name in names if name in self._starts]
        for name in gone:
            del self._starts[name]
        return gone

    def _stop_starts(self, worker):
        """Send stops for the unconfirmed starts.

        The first stop without an answer ends the round until the next poll:
        each costs a full time-out, which delays heartbeats.

        :returns: the confirmed stops, as a list of (task, attempt)
        """
        stopped = []
        for name in list(self._starts):
            if worker.stop(name[0], name[1], False).is_err():
                self._starts[name] = self._starts.pop(name)
                break
            stopped.append(name)
        return stopped

    def abandon_starts(self, worker):
        """Give up all unconfirmed starts, as nothing runs on the worker.

        Those that are still under way must not be carried out once the worker
        answers again.

        :returns: names of attempts that will never run, as a list of (task,
            attempt)
        """
        if not self._starts:
            return []
        abandoned = worker.abandon_starts()
        if abandoned.is_err():
            LOG.warning('starts not abandoned: %s', abandoned.err_value)
            return []
        return self.drop_starts()

    def drop_starts(self):
        """Return and drop the unconfirmed starts, none of which can run."""
        names = sorted(self._starts)
        self._starts.clear()
        return names

    def resend_stops(self, worker, listing, now):
        """Send again the stops that have not taken effect yet.

        The first stop without an answer ends the round until the next poll,
        because each costs a full time-out, which delays heartbeats.
        """
        running = {
            (a.task, a.attempt)
            for a in listing.attempts
            if a.state == data.RunState.RUNNING
        }
        for name, (checkpoint, sent_at) in list(self._stops.items()):
            if name not in running:
                del self._stops[name]
            elif sent_at is None or now - sent_at >= STOP_RETRY_SECONDS:
                del self._stops[name]
                self._stops[name] = (checkpoint, now)
                extra = logs.fields(task=name[0], attempt=name[1])
                if sent_at is not None:
                    LOG.warning('stop sent again', extra=extra)
                if worker.stop(name[0], name[1], checkpoint).is_err():
                    LOG.warning('stop not answered by the worker', extra=extra)
                    break

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Monitors whether the worker responds and whether its state is known.

A side that has just started does not know what its previous process started.
Until it has read the worker's whole listing, or until every lease that the
previous process may have granted has expired, unknown attempts may still run,
or may have succeeded: the side must not report them as gone or refused. After
that it reports all that it knows, which may be nothing, so that no task waits
for a worker that never responds.
"""

import dataclasses
import logging

from portwharf.core import data

LOG = logging.getLogger(__name__)

# A worker that has not responded for this long gets no new attempts.
SILENT_SECONDS = 0.9


class WorkerMonitor:
    """Monitors whether a worker responds; used only by the agent's thread."""

    def __init__(self, worker):
        """Take the worker, or None."""
        self._silent_since = None
        self._knows_all = worker is None

    @property
    def knows_all(self):
        """Whether an attempt that is not listed surely does not run."""
        return self._knows_all

    def record_response(self, listing):
        """Record that the worker has returned a ``workers.Listing``."""
        if self._silent_since is not None:
            LOG.info('worker responds again')
            self._silent_since = None
        if not listing.is_truncated:
            self._knows_all = True

    def record_silence(self, text, now):
        """Record that a poll of the worker got no answer."""
        if self._silent_since is None:
            self._silent_since = now
            LOG.warning('worker not responding: %s', text)

    def record_expiry(self):
        """Record that every lease on the silent worker has expired."""
        if not self._knows_all:
            LOG.warning(
                'earlier leases expired without a response from the worker'
            )
            self._knows_all = True

    def is_silent(self, now):
        """Tell whether the worker has not responded for too long."""
        since = self._silent_since
        return since is not None and now - since >= SILENT_SECONDS


def make_silent_listing(listing, lapsed):
    """Return the listing to use while the worker does not respond.

    :param listing: the last ``workers.Listing``
    :param lapsed: whether every lease on the worker has expired
    """
    attempts = listing.attempts
    if lapsed:
        attempts = [a for a in attempts if a.state != data.RunState.RUNNING]
    # Nothing may be placed here until the worker responds.
    return dataclasses.replace(
        listing, capacity=data.Resources(), attempts=attempts
    )


def keep_missing(previous, listing):
    """Return a listing with the attempts that a truncated one may lack.

    An attempt that was running and is not listed as running has ended, but
    its result is not known yet.
    """
    is_same = _may_be_same(previous.life, listing.life)
    if not listing.is_truncated or not is_same:
        return listing
    missing = list_vanished(previous, listing)
    return dataclasses.replace(listing, attempts=listing.attempts + missing)


def _may_be_same(previous, life):
    """Tell whether two ids may be of one incarnation.

    Its instance id is not known before its first heartbeat.
    """
    if not previous.instance:
        return previous.born_ms == life.born_ms
    return previous == life


def list_vanished(previous, listing):
    """Return the attempts that ran and are not listed any more."""
    listed = {(a.task, a.attempt) for a in listing.attempts}
    return [
        attempt
        for attempt in previous.attempts
        if attempt.state == data.RunState.RUNNING
        and (attempt.task, attempt.attempt) not in listed
    ]

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Reports lost attempts to the owner, with the reason.

A lost attempt does not run, never will, and has no result. Its task has to be
started again, and the owner decides how from the reason.
"""

import logging

from portwharf.core import bounded_cache
from portwharf.core import logs
from portwharf.peers import messages
from portwharf.side import crashes
from portwharf.side import metrics
from portwharf.side import reports
from portwharf.side import worker_monitor

LOG = logging.getLogger(__name__)

GONE_UNLISTED = 'not-listed-any-more'
GONE_LAPSED = 'the-lease-is-over'
GONE_REVOKED = 'revoked-before-it-was-known'
GONE_STOPPED = 'stopped-before-it-was-known'
GONE_UNKNOWN = 'not-known-here'
# Attempts whose loss is remembered.
MAX_REPORTED = 1000


class LossReporter:
    """Reports a worker's lost attempts; used only by the agent's thread."""

    def __init__(self, clock, send):
        """Take a clock, and a function that sends a message to the owner."""
        self._clock = clock
        self._send = send
        self._crashes = crashes.CrashTracker()
        # The reason that each attempt was last reported with, by (task,
        # attempt).
        self._reported = bounded_cache.BoundedCache(MAX_REPORTED)

    def record_start(self, task, attempt):
        """Record that the worker has confirmed the start of an attempt."""
        now = self._clock.read_monotonic()
        self._crashes.record_start((task, attempt), now)

    def check_for_crash(self, previous, listed_at, listing, unconfirmed):
        """Record a crash of the worker, if the listing shows one.

        :param previous: the previous ``workers.Listing``
        :param listed_at: when that was read
        :param listing: the latest one
        :param unconfirmed: unconfirmed starts, as (task, attempt)
        """
        if not self._crashes.detect_crash(listing):
            return
        vanished = worker_monitor.list_vanished(previous, listing)
        names = [(one.task, one.attempt) for one in vanished]
        names += unconfirmed
        now = self._clock.read_monotonic()
        crash = self._crashes.record_crash(
            previous.life, names, listed_at, now
        )
        metrics.CRASHES.inc()
        extra = logs.fields(life=crash, count=len(names))
        LOG.warning('worker crashed', extra=extra)

    def log_relisted(self, listing):
        """Log, once each, the listed attempts that were reported as gone.

        The owner may have started the next attempt of their tasks since.

        :param listing: the latest ``workers.Listing``
        """
        for one in listing.attempts:
            name = (one.task, one.attempt)
            reason = self._reported.get(name)
            if reason:
                self._reported.put(name, '')
                extra = logs.fields(
                    task=one.task,
                    attempt=one.attempt,
                    state=one.state,
                    reason=reason,
                )
                LOG.warning('attempt that was gone is listed', extra=extra)

    def report_vanished(self, previous, listing, reason):
        """Report attempts that ran and are not listed any more.

        :returns: their names, as (task, attempt)
        """
        vanished = worker_monitor.list_vanished(previous, listing)
        saved = {(one.task, one.attempt): one.checkpoint for one in vanished}
        for task, attempt in saved:
            extra = logs.fields(task=task, attempt=attempt, reason=reason)
            LOG.warning('attempt is gone', extra=extra)
        self.report_gone(list(saved), reason, saved)
        return list(saved)

    def report_gone(self, names, reason, checkpoints=None):
        """Report, in one message, attempts that do not run and never will.

        The owner needs all attempts that a crash ended at once, to find the
        one that caused it.

        :param names: list of (task, attempt)
        :param checkpoints: the last checkpoint of each, by name
        """
        if not names:
            return
        saved = checkpoints or {}
        for name in names:
            self._reported.put(name, reason)
        gone = [
            reports.make_gone_report(
                name, reason, saved.get(name, ''), self._crashes.find(name)
            )
            for name in names
        ]
        self._send(messages.Reports(reports=gone))

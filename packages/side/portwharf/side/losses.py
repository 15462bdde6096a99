# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tells the owner of attempts that are gone, and why.

What is gone runs no more, never will, and has come to nothing: its task has
to begin again elsewhere, and whether that is wise depends on the reason.
"""

import logging

from portwharf.core import logs
from portwharf.peers import messages
from portwharf.side import crashes
from portwharf.side import metrics
from portwharf.side import reports
from portwharf.side import sight

LOG = logging.getLogger(__name__)

GONE_UNLISTED = 'not-listed-any-more'
GONE_LAPSED = 'the-lease-is-over'
GONE_STOPPED = 'stopped-before-it-was-known'
GONE_UNKNOWN = 'not-known-here'


class LossTeller:
    """What a worker has lost, for the agent's thread."""

    def __init__(self, clock, send):
        """Take a clock, and a function that sends the owner a message."""
        self._clock = clock
        self._send = send
        self._crashes = crashes.CrashWatch()

    def note_start(self, task, attempt):
        """Note that the worker has answered an attempt's start."""
        now = self._clock.read_monotonic()
        self._crashes.note_start((task, attempt), now)

    def note_listing(self, former, listing, doubtful):
        """Note what ran, or may have begun, if the worker has crashed.

        :param former: the ``workers.Listing`` before this one
        :param doubtful: starts without an answer, as (task, attempt)
        """
        if not self._crashes.look(listing):
            return
        vanished = sight.list_vanished(former, listing)
        names = [(one.task, one.attempt) for one in vanished]
        names += doubtful
        now = self._clock.read_monotonic()
        crash = self._crashes.note_crash(former.life, names, now)
        metrics.CRASHES.inc()
        extra = logs.fields(life=crash, count=len(names))
        LOG.warning('the worker crashed', extra=extra)

    def tell_vanished(self, former, listing, reason):
        """Tell of what ran and is not listed any more.

        :returns: names of these, as (task, attempt)
        """
        vanished = sight.list_vanished(former, listing)
        saved = {(one.task, one.attempt): one.checkpoint for one in vanished}
        for task, attempt in saved:
            extra = logs.fields(task=task, attempt=attempt, reason=reason)
            LOG.warning('attempt is gone', extra=extra)
        self.tell_gone(list(saved), reason, saved)
        return list(saved)

    def tell_gone(self, names, reason, checkpoints=None):
        """Tell that attempts do not run and never will, in one message.

        Which of them a crash is to be blamed on is found from all of them.

        :param names: list of (task, attempt)
        :param checkpoints: what each had saved, by name
        """
        if not names:
            return
        saved = checkpoints or {}
        gone = [
            reports.make_gone(
                name, reason, saved.get(name, ''), self._crashes.find(name)
            )
            for name in names
        ]
        self._send(messages.Reports(reports=gone))

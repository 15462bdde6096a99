# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a side has seen of its worker, and when it may speak of it.

A side that has just started does not know what its former life began.
Until it has seen its worker, or every lease that its former life may have
given has run out, what it does not know of may run: it must not call that
gone, or refused. After that it tells the owner all that it knows of, which
may be nothing, so that no task waits for a worker that never answers.
"""

import dataclasses
import logging

from portwharf.core import data

LOG = logging.getLogger(__name__)

# A worker that does not answer for so long gets nothing new.
SILENT_SECONDS = 0.9


class Sight:
    """Whether a worker answers, for the agent's thread."""

    def __init__(self, worker):
        """Take the worker, or None."""
        self._silent_since = None
        self._knows_all = worker is None

    @property
    def knows_all(self):
        """Whether what is not listed surely does not run."""
        return self._knows_all

    def note_answer(self):
        """Note that the worker has told all that it runs."""
        if self._silent_since is not None:
            LOG.info('worker answers again')
            self._silent_since = None
        self._knows_all = True

    def note_silence(self, text, now):
        """Note that a look at the worker got no answer."""
        if self._silent_since is None:
            self._silent_since = now
            LOG.warning('worker does not answer: %s', text)

    def note_lapse(self):
        """Note that no lease at the silent worker runs any more."""
        if not self._knows_all:
            LOG.warning('former leases are over, with no look at the worker')
            self._knows_all = True

    def is_silent(self, now):
        """Tell whether the worker has not answered for too long."""
        since = self._silent_since
        return since is not None and now - since >= SILENT_SECONDS


def make_silent(listing, lapsed):
    """Return what is left of a listing once its worker is silent.

    :param lapsed: no lease at the worker runs any more
    """
    attempts = listing.attempts
    if lapsed:
        attempts = [a for a in attempts if a.state != data.RunState.RUNNING]
    # Nothing is to be placed here until it answers.
    return dataclasses.replace(
        listing, capacity=data.Resources(), attempts=attempts
    )


def list_vanished(former, listing):
    """Return the attempts that ran and are not listed any more."""
    listed = {(a.task, a.attempt) for a in listing.attempts}
    return [
        attempt
        for attempt in former.attempts
        if attempt.state == data.RunState.RUNNING
        and (attempt.task, attempt.attempt) not in listed
    ]

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Orders to a worker that got no clear answer, until one is found.

A start without an answer may have been carried out, or may be seconds
later. It is followed by a stop of the same attempt: once a worker has
answered that, the attempt runs no more, and a start that arrives later is
refused. Only then is the owner told that the attempt is gone; or when no
lease that it was sent with can run, or nothing is there to run it: a worker
that never answers a stop must not be waited for. A stop is sent again until
the listing shows the attempt ended, or no more.
"""

import logging

from portwharf.core import data
from portwharf.core import logs
from portwharf.core import recent

LOG = logging.getLogger(__name__)

# Attempts begun here that are remembered, by task.
MAX_BEGUN = 20_000
# How long a stop has to show an effect before it is sent again.
STOP_AGAIN_SECONDS = 0.6


class Doubts:
    """What the side still has to find out from its worker."""

    def __init__(self):
        # What each start takes, by (task, attempt); the one asked about
        # last comes last.
        self._starts = {}
        # Attempts to be stopped: whether to save them, and when last asked.
        self._stops = {}
        # Tasks with the highest attempt that was begun here.
        self._begun = recent.Recent(MAX_BEGUN)

    def note_begun(self, task, attempt):
        """Remember that an attempt may have begun here."""
        self._begun.put(task, max(attempt, self._begun.get(task, 0)))

    def has_begun(self, task, attempt):
        """Tell whether an attempt, or a later one, began here before."""
        return attempt <= self._begun.get(task, 0)

    def doubt_start(self, task, attempt, size):
        """Note that nobody knows whether a start was carried out.

        :param size: the ``data.Resources`` that it takes if it was
        """
        self._starts[(task, attempt)] = size
        extra = logs.fields(task=task, attempt=attempt)
        LOG.warning('start without a clear answer', extra=extra)

    def is_doubtful(self, task, attempt):
        """Tell whether a start is still to be found out about."""
        return (task, attempt) in self._starts

    def want_stop(self, task, attempt, checkpoint):
        """Have an attempt stopped, as often as it takes."""
        self._stops[(task, attempt)] = (checkpoint, None)

    def list_starts(self):
        """Return the doubtful starts, as a list of (task, attempt)."""
        return list(self._starts)

    def sum_sizes(self):
        """Return what the doubtful starts take if they were carried out."""
        used = data.Resources()
        for size in self._starts.values():
            used = used.add(size)
        return used

    def settle_starts(self, worker, listing):
        """Find out about doubtful starts.

        :param listing: the latest ``workers.Listing``
        :returns: names of attempts that will never run, as a list of
            (task, attempt)
        """
        if listing.absent:
            return self.give_up_starts()
        self._drop_listed(listing)
        stopped = self._stop_starts(worker)
        if not stopped:
            return []
        # An attempt that ran when the stop came is listed from now on.
        again = worker.read_listing()
        if again.is_err():
            return []
        self._drop_listed(again.ok_value)
        gone = [name for name in stopped if name in self._starts]
        for name in gone:
            del self._starts[name]
        return gone

    def _drop_listed(self, listing):
        for attempt in listing.attempts:
            self._starts.pop((attempt.task, attempt.attempt), None)

    def _stop_starts(self, worker):
        """Stop what may have begun; returns what was answered.

        One unanswered stop ends it until the next look: each costs the time
        that an answer is waited for, and heartbeats wait as long.
        """
        stopped = []
        for name in list(self._starts):
            if worker.stop(name[0], name[1], False).is_err():
                self._starts[name] = self._starts.pop(name)
                break
            stopped.append(name)
        return stopped

    def give_up_starts(self):
        """Return the doubtful starts, none of which can run any more."""
        names = sorted(self._starts)
        self._starts.clear()
        return names

    def repeat_stops(self, worker, listing, now):
        """Send stops that have shown no effect yet, again.

        One that is not answered ends it until the next look, as above.
        """
        running = {
            (a.task, a.attempt)
            for a in listing.attempts
            if a.state == data.RunState.RUNNING
        }
        for name, (checkpoint, asked) in list(self._stops.items()):
            if name not in running:
                del self._stops[name]
            elif asked is None or now - asked >= STOP_AGAIN_SECONDS:
                del self._stops[name]
                self._stops[name] = (checkpoint, now)
                if worker.stop(name[0], name[1], checkpoint).is_err():
                    break

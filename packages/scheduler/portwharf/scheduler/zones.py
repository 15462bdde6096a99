# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Availability zones that an operator has closed to new starts.

Each has a key of its own in the store while it is closed, whatever its value.
Nothing begins there meanwhile; what runs goes on. It is checked twice: an
owner places nothing there, and a side begins nothing, so that a start which
was decided before, and sent, repeated or delayed after, is refused.

What was read is worth as much as the store's revision that it was read at:
of two readings the later one holds, whoever made it.
"""

import dataclasses
import logging
import random
import threading

from portwharf.core import logs
from portwharf.peers import messages
from portwharf.scheduler import metrics

LOG = logging.getLogger(__name__)

PREFIX = 'zones/closed/'
# An owner's own reading is this old at the most when it places something, in
# seconds: half of the shortest time that operators are promised (5 s), so that
# as much is left for the log, the order and its answer.
MAX_AGE_SECONDS = 2.5
# Sides hear of changes by their owner too; one of 62 sides that watches for
# this long costs the store a call in ten seconds.
WATCH_SECONDS = 10.0
RETRY_SECONDS = 0.3
_MAX_RETRY_SECONDS = 1.0
# Names that are kept of what somebody writes there, and their length: a key of
# the store has 200 bytes at the most.
MAX_ZONES = 1000
MAX_NAME = 200


@dataclasses.dataclass(slots=True)
class Reading:
    """Which zones were closed at a revision of the store."""

    revision: int = 0
    names: frozenset = frozenset()


class ZoneKeeper:
    """What this process knows of closed zones."""

    def __init__(self, clock, prefix=PREFIX):
        """Take a clock, for the age of what was read."""
        self._clock = clock
        self._prefix = prefix
        self._lock = threading.Lock()
        self._current = Reading()
        self._looked_at = None
        self._followers = []

    def read(self):
        """Return the :class:`Reading` that holds."""
        return self._current

    def is_closed(self, zone):
        """Tell whether nothing may begin in a zone."""
        return zone in self._current.names

    def is_known_since(self, since):
        """Tell whether this process has read the keys itself since a time.

        :param since: in seconds, on its clock
        """
        return self._looked_at is not None and self._looked_at >= since

    def follow(self, call):
        """Have a function called, without arguments, after a change."""
        self._followers.append(call)

    def make_update(self):
        """Return what holds as a message."""
        current = self._current
        return messages.ClosedZones(current.revision, sorted(current.names))

    def offer(self, revision, names):
        """Take a reading, unless a later one is known."""
        names = frozenset(name[:MAX_NAME] for name in names[:MAX_ZONES])
        with self._lock:
            if revision <= self._current.revision:
                return
            changed = names != self._current.names
            self._current = Reading(revision, names)
        if not changed:
            return
        extra = logs.fields(zones=sorted(names), revision=revision)
        LOG.info('closed availability zones', extra=extra)
        metrics.CLOSED_ZONES.set(len(names))
        for call in self._followers:
            call()

    def look(self, kv):
        """Read the keys.

        :returns: whether the store answered
        """
        asked = self._clock.read_monotonic()
        found = kv.list_names(self._prefix)
        if found.is_err():
            return False
        names = [key[len(self._prefix) :] for key in found.ok_value.keys]
        self.offer(found.ok_value.revision, names)
        self._note_looked(asked)
        return True

    def wait(self, kv):
        """Wait until the keys change, or for as long as a watch waits.

        :returns: whether the store answered
        """
        asked = self._clock.read_monotonic()
        known = self._current
        found = kv.wait_for_names(self._prefix, known.revision, WATCH_SECONDS)
        if found.is_err():
            return False
        if not found.ok_value.revision:
            return self.look(kv)
        self._note_unchanged(known, found.ok_value.revision, asked)
        return True

    def _note_unchanged(self, known, revision, asked):
        """Note that a reading still holds at a later revision."""
        with self._lock:
            if self._current is known and revision > known.revision:
                self._current = Reading(revision, known.names)
        self._note_looked(asked)

    def _note_looked(self, asked):
        """Note when a reading was asked for; a watch may answer long after."""
        with self._lock:
            self._looked_at = max(asked, self._looked_at or asked)


class ZoneWatcher:
    """Keeps a :class:`ZoneKeeper` up to date; a context manager."""

    def __init__(self, kv, keeper):
        self._kv = kv
        self._keeper = keeper
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='zones', daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        # The thread may sit in a watch; it ends with the process.
        self._stop.set()

    def _run(self):
        wait = RETRY_SECONDS
        while not self._stop.is_set():
            if self._follow():
                wait = RETRY_SECONDS
            self._stop.wait(wait * random.uniform(0.5, 1.5))
            wait = min(2 * wait, _MAX_RETRY_SECONDS)

    def _follow(self):
        """Look once, then wait for changes until something fails.

        :returns: whether the store answered
        """
        answered = self._keeper.look(self._kv)
        while answered and not self._stop.is_set():
            if not self._keeper.wait(self._kv):
                return True
        return answered

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Availability zones that an operator has closed to new starts.

A zone is closed while the store has a key for it; the value of the key does
not matter. No task begins in a closed zone, but running tasks go on. Both ends
check this: an owner places nothing there, and a side begins nothing there, so
that a start which was decided earlier, or was repeated or delayed, is refused.

A reading is valid as of the store revision that it was made at. Of two
readings the one with the higher revision wins, whichever process made it.
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
# Largest age, in seconds, of the reading that an owner places tasks by. Half
# of the 5 s that operators are promised, so that as much is left for the log,
# the command and its answer.
MAX_AGE_SECONDS = 2.5
# Watch timeout. Sides also learn of changes from their owner, so the watches
# need not be short. Each watching side costs the store one call in this time.
WATCH_SECONDS = 10.0
RETRY_SECONDS = 0.3
_MAX_RETRY_SECONDS = 1.0
# Limits on the names that are kept, as anybody may write keys there. A key of
# the store has at most 200 bytes.
MAX_ZONES = 1000
MAX_NAME_LENGTH = 200


@dataclasses.dataclass(slots=True)
class Reading:
    """The closed zones at one revision of the store."""

    revision: int = 0
    names: frozenset = frozenset()


class ZoneKeeper:
    """The closed zones that this process knows of."""

    def __init__(self, clock, prefix=PREFIX):
        """Take the clock that the age of readings is measured on."""
        self._clock = clock
        self._prefix = prefix
        self._lock = threading.Lock()
        self._current = Reading()
        self._last_read_at = None
        self._listeners = []

    def read(self):
        """Return the :class:`Reading` with the highest revision."""
        return self._current

    def is_closed(self, zone):
        """Tell whether no task may begin in a zone."""
        return zone in self._current.names

    def is_known_since(self, since):
        """Tell whether this process has read the keys since a given time.

        :param since: in seconds, on the clock of this process
        """
        return self._last_read_at is not None and self._last_read_at >= since

    def add_listener(self, call):
        """Register a function without arguments, called after each change."""
        self._listeners.append(call)

    def make_update(self):
        """Return the closed zones as a message."""
        current = self._current
        return messages.ClosedZones(current.revision, sorted(current.names))

    def update(self, revision, names):
        """Take a reading unless one of a higher revision is known."""
        names = frozenset(name[:MAX_NAME_LENGTH] for name in names[:MAX_ZONES])
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
        for call in self._listeners:
            call()

    def refresh(self, kv):
        """Read the keys from the store.

        :returns: whether the store answered
        """
        requested_at = self._clock.read_monotonic()
        found = kv.list_keys(self._prefix)
        if found.is_err():
            return False
        names = [key[len(self._prefix) :] for key in found.ok_value.keys]
        self.update(found.ok_value.revision, names)
        self._record_read_time(requested_at)
        return True

    def wait_for_change(self, kv):
        """Wait until the keys change or the watch times out.

        :returns: whether the store answered
        """
        requested_at = self._clock.read_monotonic()
        known = self._current
        found = kv.wait_for_key_changes(
            self._prefix, known.revision, WATCH_SECONDS
        )
        if found.is_err():
            return False
        if not found.ok_value.revision:
            return self.refresh(kv)
        self._record_unchanged(known, found.ok_value.revision, requested_at)
        return True

    def _record_unchanged(self, known, revision, requested_at):
        """Record that a reading still holds at a higher revision."""
        with self._lock:
            if self._current is known and revision > known.revision:
                self._current = Reading(revision, known.names)
        self._record_read_time(requested_at)

    def _record_read_time(self, requested_at):
        """Record when a reading was requested.

        The answer of a watch may come much later.
        """
        with self._lock:
            self._last_read_at = max(
                requested_at, self._last_read_at or requested_at
            )


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
        # The daemon thread is not joined, as it may be blocked in a watch.
        self._stop.set()

    def _run(self):
        wait = RETRY_SECONDS
        while not self._stop.is_set():
            if self._follow():
                wait = RETRY_SECONDS
            self._stop.wait(wait * random.uniform(0.5, 1.5))
            wait = min(2 * wait, _MAX_RETRY_SECONDS)

    def _follow(self):
        """Read once, then watch for changes until a call fails.

        :returns: whether the store answered
        """
        answered = self._keeper.refresh(self._kv)
        while answered and not self._stop.is_set():
            if not self._keeper.wait_for_change(self._kv):
                return True
        return answered

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Detects worker crashes and records which attempts they ended.

An attempt can be gone for several reasons: its lease expired, its start was
not known, its worker left as planned, or its worker crashed. Only the side can
tell these apart, and only while its process lives: a restarted side knows of
no earlier crash.
"""

import dataclasses

from portwharf.core import bounded_cache

# Attempts whose start or crash is remembered.
MAX_ATTEMPTS = 20_000
# ``ran_ms`` of an attempt whose start was not confirmed to this side process.
UNKNOWN = -1
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class Crash:
    """A crash of the worker, as seen by one attempt.

    :param name: identifies the crash among those of this VM
    :param ran_ms: time from the confirmed start of the attempt to the
        detection of the crash, in ms, or ``UNKNOWN``
    :param listed_ms: time from that start to the last listing before the
        crash, 0 if there was none in between, or ``UNKNOWN``
    """

    name: str = ''
    ran_ms: int = UNKNOWN
    listed_ms: int = UNKNOWN


class CrashTracker:
    """Tracks the crashes of one worker; used only by the agent's thread."""

    def __init__(self):
        self._starts = bounded_cache.BoundedCache(MAX_ATTEMPTS)
        self._crashes = bounded_cache.BoundedCache(MAX_ATTEMPTS)
        # The ``data.IncarnationId`` of the worker at the last poll, or None,
        # and whether it was draining.
        self._life = None
        self._was_draining = False

    def record_start(self, name, now):
        """Record that the worker has confirmed the start of an attempt.

        :param name: (task, attempt)
        """
        self._starts.put(name, now)

    def detect_crash(self, listing):
        """Compare a ``workers.Listing`` with the previous one.

        :returns: whether the worker's previous incarnation has crashed
        """
        previous, was_draining = self._life, self._was_draining
        known = bool(listing.life.instance) and not listing.absent
        self._life = listing.life if known else None
        self._was_draining = listing.draining
        return (
            previous is not None
            and previous != self._life
            and not was_draining
        )

    def record_crash(self, life, names, listed_at, now):
        """Record the attempts that may have run when the worker crashed.

        :param life: the ``data.IncarnationId`` of the crashed incarnation
        :param names: attempts as (task, attempt)
        :param listed_at: time of the last listing before the crash
        :returns: the crash's name
        """
        crash = life.name or str(int(now * _MS_PER_SECOND))
        for name in names:
            started_at = self._starts.get(name)
            lost = Crash(crash)
            if started_at is not None:
                lost.ran_ms = int((now - started_at) * _MS_PER_SECOND)
                listed_seconds = max(0.0, listed_at - started_at)
                lost.listed_ms = int(listed_seconds * _MS_PER_SECOND)
            self._crashes.put(name, lost)
        return crash

    def find(self, name):
        """Return the :class:`Crash` that ended an attempt, or None."""
        return self._crashes.get(name)

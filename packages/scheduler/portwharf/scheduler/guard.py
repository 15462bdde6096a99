# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The epochs and grants that a side knows of, and how long they hold.

All times are on the clock of the side. A grant counts from the time that the
side *sent* the heartbeat that it answers, so that a delay on the way cannot
make it last longer than the owner assumes.
"""

import threading

from portwharf.peers import links

# A live owner redials and greets within this time.
REDIAL_SECONDS = links.REDIAL_SECONDS + 0.3


class GrantGuard:
    """Tracks the highest epoch and the owner's grants for a side."""

    def __init__(self, clock, limits):
        """Take a ``Clock`` and the ``limits.Limits``."""
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._epoch = 0
        self._owner = ''
        self._forgetful = True
        self._granted_until = 0.0
        self._last_heard = None
        self._requested_epoch = 0
        self._members_hash = 0
        self._wait_began = clock.read_monotonic()

    @property
    def epoch(self):
        """The highest epoch that this side knows."""
        return self._epoch

    @property
    def owner(self):
        """The VM of the owner in that epoch, or ''."""
        return self._owner

    @property
    def members_hash(self):
        """Hash of the members as the owner last told it, or 0."""
        return self._members_hash

    @property
    def epoch_unknown(self):
        """Whether the side has restarted and not yet read its epoch.

        Before the restart it may have acknowledged a higher epoch, so until
        then it acknowledges no epoch, obeys no command and renews no lease.
        """
        return self._forgetful

    def learn_epoch(self, epoch):
        """Take the epoch at the end of the shard's log."""
        with self._lock:
            self._advance_epoch(epoch, '')
            self._forgetful = False

    def accept_owner(self, epoch, name):
        """Record the greeting of an owner.

        :returns: False if a newer owner is known
        """
        with self._lock:
            if epoch < self._epoch:
                return False
            self._advance_epoch(epoch, name)
            self._owner = name
            self._last_heard = self._clock.read_monotonic()
            return True

    def accept_grant(self, epoch, sent_at, valid, members_hash=0):
        """Record the answer to a heartbeat.

        :param sent_at: the clock of the side when the heartbeat was sent
        :param valid: whether exclusive tasks may go on because of it
        :param members_hash: hash of the members that the owner knows
        """
        with self._lock:
            if epoch != self._epoch:
                return
            self._members_hash = members_hash
            self._last_heard = self._clock.read_monotonic()
            if valid and not self._forgetful:
                until = sent_at + self._limits.guard
                self._granted_until = max(self._granted_until, until)

    def accepts_epoch(self, epoch):
        """Tell whether commands of an epoch are to be obeyed."""
        with self._lock:
            return epoch == self._epoch and not self._forgetful

    def is_granted(self):
        """Tell whether exclusive tasks may run now."""
        with self._lock:
            now = self._clock.read_monotonic()
            return not self._forgetful and now < self._granted_until

    @property
    def granted_until(self):
        """When the last grant ends, in seconds of the clock of the side."""
        return self._granted_until

    def measure_silence(self):
        """Return the seconds since the owner was heard or the wait began."""
        with self._lock:
            since = max(self._wait_began, self._last_heard or 0.0)
            return self._clock.read_monotonic() - since

    def record_disconnect(self):
        """Record that the connection of the owner has ended.

        A live owner redials at once, so the rest of the silence before a
        takeover is cut to the time that this takes.
        """
        with self._lock:
            if self._last_heard is None:
                return
            now = self._clock.read_monotonic()
            heard = now + REDIAL_SECONDS - self._limits.takeover
            self._last_heard = min(self._last_heard, heard)

    def is_owner_alive(self, epoch):
        """Tell whether the owner of an epoch, or a newer one, is heard.

        It may be before this side has read its epoch, and so does not obey it.
        """
        with self._lock:
            if self._epoch < epoch:
                return False
            if self._last_heard is None:
                return False
            silence = self._clock.read_monotonic() - self._last_heard
            return silence < self._limits.takeover

    def accept_resignation(self, epoch, is_successor):
        """Record that the owner stops.

        :param is_successor: this side is asked to take over at once
        """
        with self._lock:
            if epoch == self._epoch:
                self._requested_epoch = epoch if is_successor else 0
                self._wait_began = self._clock.read_monotonic()

    @property
    def has_seen_owner(self):
        """Whether any owner was heard since this process started."""
        return self._last_heard is not None

    def take_takeover_request(self):
        """Tell, once only, whether the owner asked this side to take over."""
        requested = 0 < self._requested_epoch == self._epoch
        self._requested_epoch = 0
        return requested

    def restart_wait(self):
        """Restart the wait for an owner from now."""
        with self._lock:
            self._wait_began = self._clock.read_monotonic()

    def _advance_epoch(self, epoch, owner):
        """Move to a higher epoch.

        A grant of the former owner stays valid until it ends; the new owner
        waits for that.
        """
        if epoch > self._epoch:
            self._epoch = epoch
            self._owner = owner

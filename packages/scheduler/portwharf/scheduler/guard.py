# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a side knows of owners, and how long it may keep its tasks.

All times are on the side's own clock. A grant counts from the time that
the side *sent* the heartbeat which it answers, so that no delay on the way
can make it last longer than the owner reckons with.
"""

import threading

from portwharf.peers import links

# An owner that lives dials again, and greets, within this.
REDIAL_SECONDS = links.REDIAL_SECONDS + 0.3


class Guard:
    """The side's own watch over epochs and grants."""

    def __init__(self, clock, limits):
        """Take a ``Clock`` and the time limits."""
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._epoch = 0
        self._owner = ''
        self._forgetful = True
        self._valid_until = 0.0
        self._heard = None
        self._called = 0
        self._held_off = clock.read_monotonic()

    @property
    def epoch(self):
        """The highest epoch that this side knows."""
        return self._epoch

    @property
    def owner(self):
        """The VM of that epoch's owner, or ''."""
        return self._owner

    @property
    def forgetful(self):
        """Whether the side has restarted and not yet learnt its epoch.

        Until it has, it may have acknowledged a higher epoch in its former
        life, so it acknowledges none, obeys none and renews no lease.
        """
        return self._forgetful

    def learn_epoch(self, epoch):
        """Take the epoch that the log's end shows."""
        with self._lock:
            self._raise_epoch(epoch, '')
            self._forgetful = False

    def accept_owner(self, epoch, name):
        """Take a greeting of an owner.

        :returns: False if a newer owner is known
        """
        with self._lock:
            if epoch < self._epoch:
                return False
            self._raise_epoch(epoch, name)
            self._owner = name
            self._heard = self._clock.read_monotonic()
            return True

    def accept_grant(self, epoch, sent, valid):
        """Take the answer to a heartbeat.

        :param sent: our clock when the heartbeat was sent
        """
        with self._lock:
            if epoch != self._epoch:
                return
            self._heard = self._clock.read_monotonic()
            if valid and not self._forgetful:
                until = sent + self._limits.guard
                self._valid_until = max(self._valid_until, until)

    def accepts(self, epoch):
        """Tell whether a command of an epoch is to be obeyed."""
        with self._lock:
            return epoch == self._epoch and not self._forgetful

    def is_granted(self):
        """Tell whether exclusive tasks may run now."""
        with self._lock:
            now = self._clock.read_monotonic()
            return not self._forgetful and now < self._valid_until

    @property
    def granted_until(self):
        """When the last grant ends, in seconds of our clock."""
        return self._valid_until

    def measure_silence(self):
        """Return the seconds since the owner was heard or waited for."""
        with self._lock:
            since = max(self._held_off, self._heard or 0.0)
            return self._clock.read_monotonic() - since

    def note_lost(self):
        """Note that the owner's connection has ended.

        An owner that lives dials again at once; one whose process has ended
        need not be waited for as long as one that is only silent.
        """
        with self._lock:
            if self._heard is None:
                return
            now = self._clock.read_monotonic()
            heard = now + REDIAL_SECONDS - self._limits.takeover
            self._heard = min(self._heard, heard)

    def hears_owner(self, epoch):
        """Tell whether the owner of an epoch, or a newer one, is heard."""
        with self._lock:
            if self._forgetful or self._epoch < epoch:
                return False
            if self._heard is None:
                return False
            silence = self._clock.read_monotonic() - self._heard
            return silence < self._limits.takeover

    def accept_resignation(self, epoch, ours):
        """Take that an owner stops.

        :param ours: this side is asked to take over at once
        """
        with self._lock:
            if epoch == self._epoch:
                self._called = epoch if ours else 0
                self._held_off = self._clock.read_monotonic()

    @property
    def has_heard(self):
        """Whether any owner was heard since the start."""
        return self._heard is not None

    def take_call(self):
        """Tell, once, whether the owner has asked this side to follow it."""
        called = 0 < self._called == self._epoch
        self._called = 0
        return called

    def hold_off(self):
        """Begin the wait for an owner afresh."""
        with self._lock:
            self._held_off = self._clock.read_monotonic()

    def _raise_epoch(self, epoch, owner):
        """Go over to a higher epoch.

        A grant of the former owner lasts as long as it was given for; the
        new owner reckons with that.
        """
        if epoch > self._epoch:
            self._epoch = epoch
            self._owner = owner

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What an owner knows of pairs of images, and when it tells its sides.

Links' threads bring in what sides know and observe; the deciding thread
passes on what is new, now and then.
"""

import threading

from portwharf.peers import messages
from portwharf.scheduler.decisions import presses

# Between two updates to all sides, in seconds: one carries all pairs.
TELL_SECONDS = 0.5


class Pairing:
    """The pairs of one owner, for all of its threads."""

    def __init__(self):
        self.presses = presses.Presses()
        self._lock = threading.Lock()
        self._news = False
        self._next = 0.0

    def adopt(self, known):
        """Begin with what a former owner has told a side.

        :param known: list of ``messages.Press``
        """
        with self._lock:
            self.presses.adopt(known)
            self._news = True

    def learn(self, observed):
        """Learn from a side's list of ``messages.PressObserved``."""
        with self._lock:
            for one in observed:
                self.presses.learn(one)
            self._news = True

    def make_update(self):
        """Return all that is known, as a ``messages.PressUpdate``."""
        with self._lock:
            return messages.PressUpdate(self.presses.list_all())

    def take_news(self, now):
        """Return what to tell all sides now, or None."""
        if now < self._next or not self._news:
            return None
        self._next = now + TELL_SECONDS
        self._news = False
        return self.make_update()

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What an owner knows about interference between pairs of images.

The threads of links add what sides report; the deciding thread sends changes
to all sides at a limited rate.
"""

import threading

from portwharf.peers import messages
from portwharf.scheduler.decisions import tail_interference

# Interval between two updates to all sides. An update carries every pair.
UPDATE_INTERVAL_SECONDS = 0.5


class InterferenceTracker:
    """One owner's knowledge of pairs; safe to use from all its threads."""

    def __init__(self):
        self.presses = tail_interference.TailInterferenceModel()
        self._lock = threading.Lock()
        self._has_changes = False
        self._next_update = 0.0

    def adopt(self, known):
        """Take over what a previous owner sent to a side.

        :param known: list of ``messages.Press``
        """
        with self._lock:
            self.presses.add_unknown(known)
            self._has_changes = True

    def add_observations(self, observed):
        """Add a side's observations, a list of ``messages.PressObserved``."""
        with self._lock:
            for one in observed:
                self.presses.add_observation(one)
            self._has_changes = True

    def make_update(self):
        """Return all known pairs as a ``messages.PressUpdate``."""
        with self._lock:
            return messages.PressUpdate(self.presses.list_all())

    def take_due_update(self, now):
        """Return the update that is due for all sides, or None."""
        if now < self._next_update or not self._has_changes:
            return None
        self._next_update = now + UPDATE_INTERVAL_SECONDS
        self._has_changes = False
        return self.make_update()

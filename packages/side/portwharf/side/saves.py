# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which saves of running tasks the owner is told of, and when.

The worker names the last save of what runs. When it is lost with its VM,
nobody else knows the name, and the task would begin from nothing. So the
owner logs it: soon for a short task, and ever more seldom for one that runs
long, as each save in the log costs about 60 bytes.
"""

from portwharf.core import data
from portwharf.peers import messages

# A task's saves are told of this far apart at the least, in seconds: those
# that fill run for 3 to 5 s on the platforms known and save each 0.5 to 2 s.
LEAST_SECONDS = 1.0
# And this share of the time that the attempt has run, so that a VM's loss
# costs a fifth more of what was done, at the most.
AGE_SHARE = 0.2


class SaveTeller:
    """The saves of one worker's attempts that its owner has been told of."""

    def __init__(self):
        # When each attempt was seen first; what was told of it, and when.
        self._seen = {}
        self._told = {}

    def forget_told(self):
        """Tell everything again: the owner is another one, or anew."""
        self._told = {}

    def list_due(self, attempts, now):
        """Return the ``messages.SavedTask`` that are due.

        :param attempts: list of ``workers.Attempt``, all that is listed
        """
        running = {
            (one.task, one.attempt): one.checkpoint
            for one in attempts
            if one.state == data.RunState.RUNNING
        }
        self._seen = {name: self._seen.get(name, now) for name in running}
        self._told = {n: t for n, t in self._told.items() if n in running}
        due = []
        for name, checkpoint in running.items():
            if checkpoint and self._is_due(name, checkpoint, now):
                self._told[name] = (checkpoint, now)
                due.append(messages.SavedTask(*name, checkpoint))
        return due

    def _is_due(self, name, checkpoint, now):
        """Tell whether a save is new, and the last one told long ago."""
        told, when = self._told.get(name, ('', self._seen[name]))
        wait = max(LEAST_SECONDS, AGE_SHARE * (now - self._seen[name]))
        return checkpoint != told and now - when >= wait

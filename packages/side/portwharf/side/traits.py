# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What the tasks of one VM are, as far as that matters beside each other.

A worker lists what runs, but not what it is. That comes from the owner: with
the order that begins an attempt, and again, for all that the VM holds, with
each new connection. So a side that has restarted knows its tasks before it
is told to begin another, and a task is known for as long as it runs.
"""

import dataclasses

from portwharf.core import recent
from portwharf.scheduler.decisions import precedence

# Tasks that are remembered, unless more run: a start without an answer
# may show up to 12 s later, and a VM begins fewer than 20 a second.
MAX_TRAITS = 1000


@dataclasses.dataclass(slots=True)
class Trait:
    """What matters of a task.

    :param fill_milli: processors that it asks for if it fills, else 0
    :param attempt: the latest that was told of
    :param claim: what its job has to go for it
    """

    image: str = ''
    fill_milli: int = 0
    target_ms: int = 0
    attempt: int = 0
    claim: precedence.Claim = dataclasses.field(
        default_factory=precedence.Claim
    )


_NOTHING_KNOWN = Trait()


class Traits:
    """The traits of the tasks that run here, or may."""

    def __init__(self):
        self._known = recent.Recent(MAX_TRAITS)
        self._told = False
        self.strangers = []

    def note(self, message):
        """Take a task from a ``messages.StartTask`` or ``HeldTask``.

        :returns: whether it was not known before
        """
        new = message.task not in self._known
        trait = Trait(
            message.program,
            message.fill_milli,
            message.target_ms,
            message.attempt,
            precedence.Claim(message.left, message.due_ms, message.late_ms),
        )
        self._known.put(message.task, trait)
        return new

    def note_all(self):
        """Note that an owner has told of all that the log has here."""
        self._told = True

    def use(self, running):
        """Say what runs: a list of ``workers.Attempt``.

        An attempt that an owner has left out, or told of a later one in its
        place, is a stranger: it was given up, and will be stopped.
        """
        self._known.use(one.task for one in running)
        self.strangers = []
        if self._told:
            self.strangers = [a for a in running if self._is_stranger(a)]

    def _is_stranger(self, attempt):
        known = self._known.get(attempt.task)
        return known is None or attempt.attempt < known.attempt

    def find(self, attempt):
        """Return the :class:`Trait` of an attempt; empty if not known."""
        return self._known.get(attempt.task, _NOTHING_KNOWN)

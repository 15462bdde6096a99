# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Has the worker let tasks work at the shares that are planned for them.

What the owner tells of the tasks on the VM comes in here, and orders to the
worker go out. An order without an answer counts as unknown, and is given
again.
"""

from portwharf.side import pacing
from portwharf.side import reports


class PaceKeeper:
    """The shares that tasks of one worker work at, for the agent's thread."""

    def __init__(self, worker):
        """Take the worker, or None."""
        self._worker = worker
        self.pacer = pacing.Pacer()

    def take_held(self, message):
        """Learn from a ``messages.HeldTasks`` what runs here, or may."""
        self.pacer.note_all_held(message.tasks)
        if self._worker is None:
            return
        for held in message.tasks:
            self._worker.recall(reports.make_recalled(held))

    def throttle(self, message):
        """Carry out a ``messages.ThrottleTask``.

        What fills is paced by its pacer all the same, at its next plan.
        """
        self._worker.throttle(message.task, message.attempt, message.percent)
        self.pacer.forget_told(message)

    def keep(self, listing, now, now_ms=0):
        """Have what fills give way to what serves, and take it back.

        :param listing: a ``workers.Listing``, just read
        :param now_ms: wall time, for which jobs are late
        """
        due = self.pacer.plan(listing, now, now_ms)
        while due:
            pace = due.pop(0)
            paced = self._worker.throttle(
                pace.task, pace.attempt, pace.percent
            )
            self.pacer.log.note_pace(pace, paced, now)
            if paced.is_err():
                # Each more might cost a time-out, while the beat waits.
                for one in (pace, *due):
                    self.pacer.forget_told(one)
                return

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Applies the planned CPU shares of tasks on the worker.

The controller takes the owner's descriptions of the tasks on the VM and sends
throttle commands to the worker. A command without an answer leaves the share
unknown, and is sent again. It may still be carried out seconds later, after
newer commands, so all shares are repeated for a while.
"""

from portwharf.side import pacing
from portwharf.side import reports

# Time during which an unanswered command may still be carried out, as for
# starts (``task_traits.MAX_TRAITS``).
LATE_SECONDS = 12.0
# Interval at which shares are repeated during that time, which bounds how long
# a late command is in force.
REPEAT_SECONDS = 2.0


class PaceController:
    """Controls the CPU shares on one worker; used by the agent's thread."""

    def __init__(self, worker):
        """Take the worker, or None."""
        self._worker = worker
        self.pacer = pacing.Pacer()
        # Until when an unanswered command may be carried out; None if the next
        # plan has to set it. The previous side process may have left one.
        self._late_until = None
        self._next_repeat = 0.0
        # Attempts whose last command failed, in that order, as keys; the
        # others come first.
        self._failed = {}
        # The owner's latest command for each attempt that the pacer does not
        # control, and those of them that are to be sent.
        self._ordered = {}
        self._unanswered = {}

    def record_held(self, message):
        """Record a ``messages.HeldTasks``: all tasks that the VM holds."""
        self.pacer.record_all_held(message.tasks)
        if self._worker is None:
            return
        for held in message.tasks:
            self._worker.restore_start(reports.make_recall_start(held))

    def throttle(self, message):
        """Carry out a ``messages.ThrottleTask``.

        For a filling task, the pacer's next plan replaces this share. The
        owner sends each command once, so one without an answer is sent again.
        """
        name = (message.task, message.attempt)
        self._ordered[name] = self._unanswered[name] = message
        self._send_unanswered()
        self.pacer.forget_sent(message)

    def apply_plan(self, listing, now, now_ms=0):
        """Throttle filling tasks to protect serving ones, and release them.

        :param listing: a ``workers.Listing``, just read
        :param now_ms: Unix time, to which the due times of jobs refer
        """
        self._forget_sent_if_due(now)
        due = self.pacer.plan(listing, now, now_ms)
        self._drop_orders(listing)
        ranks = {name: rank for rank, name in enumerate(self._failed, 1)}
        due.sort(key=lambda one: ranks.get((one.task, one.attempt), 0))
        while due:
            pace = due.pop(0)
            paced = self._worker.throttle(
                pace.task, pace.attempt, pace.percent
            )
            self.pacer.log.record_throttle(pace, paced, now)
            self._failed.pop((pace.task, pace.attempt), None)
            if paced.is_err():
                # Further commands could time out as well, which delays the
                # heartbeat.
                for one in (pace, *due):
                    self.pacer.forget_sent(one)
                self._failed[(pace.task, pace.attempt)] = None
                self._late_until = now + LATE_SECONDS
                return
        self._send_unanswered()

    def _drop_orders(self, listing):
        """Drop what concerns attempts that have ended.

        The owner's commands for filling tasks are dropped too, as the plan
        has just replaced them.
        """
        listed = {(one.task, one.attempt) for one in listing.attempts}
        for orders in (self._ordered, self._unanswered):
            for name in list(orders):
                if name not in listed or self.pacer.controls(name):
                    del orders[name]
        for name in self._failed.keys() - listed:
            del self._failed[name]

    def _send_unanswered(self):
        """Send the owner's commands until one of them gets no answer."""
        for name, message in list(self._unanswered.items()):
            paced = self._worker.throttle(
                message.task, message.attempt, message.percent
            )
            del self._unanswered[name]
            if paced.is_err():
                # Last in line, so that it does not block the others.
                self._unanswered[name] = message
                # It may be carried out late from now on.
                self._late_until = None
                return

    def _forget_sent_if_due(self, now):
        """Have all shares sent again while a late command may replace them."""
        if self._late_until is None:
            self._late_until = now + LATE_SECONDS
        if self._next_repeat <= now < self._late_until:
            self._next_repeat = now + REPEAT_SECONDS
            self.pacer.forget_all_sent()
            self._unanswered.update(self._ordered)

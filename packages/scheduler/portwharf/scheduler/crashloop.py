# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Gives up tasks that crash the workers that start them, and clears others.

An attempt that goes with its worker is no failure of its task: VMs are lost
every day. But a task that crashes each worker is begun for ever if nobody
counts, and takes down all that runs beside it each time. What is counted, and
how many crashes it takes, is in :mod:`portwharf.scheduler.suspects`.
"""

from portwharf.core import data
from portwharf.scheduler import decisionlog
from portwharf.scheduler import events
from portwharf.scheduler import metrics
from portwharf.scheduler import planning
from portwharf.scheduler import suspects

_MS = 1000


class CrashLoops:
    """The suspects of one owner; for its deciding thread."""

    def __init__(self, clock, state, members):
        """Take the shard's state and its ``membership.Membership``."""
        self._clock = clock
        self._state = state
        self._members = members
        # When each attempt of a suspect was told to run, by (task, attempt).
        self._since = {}
        # Tasks that a worker crashed under, as told in this pass.
        self._crashed = []

    def take_report(self, report):
        """Take a ``messages.TaskReport`` that the state has taken."""
        if report.task not in self._state.suspects:
            return
        if report.crash:
            self._crashed.append(self._state.tasks[report.task])
        elif report.state == data.RunState.RUNNING:
            now = self._clock.read_monotonic()
            name = (report.task, report.attempt)
            self._since.setdefault(name, now)

    def judge(self, batch, add, note_ended):
        """Give up or clear what there is reason to.

        After all reports of a pass: which task stands out is known only with
        all that a crash has ended.

        :param add: function of a batch and an event that applies the event
        :param note_ended: function of an event and a batch, for what follows
            from a task's end
        """
        crashed, self._crashed = self._crashed, []
        for task in crashed:
            if suspects.is_culprit(self._state, task):
                ended = self._give_up(task, batch, add)
                note_ended(ended, batch)
            elif len(task.crashes) > 1:
                decisionlog.log_suspect(task)
        for task in self._find_cleared():
            decisionlog.log_cleared(task)
            add(batch, events.TaskCleared(task.id))
        metrics.SUSPECTS.set(len(self._state.suspects))

    def _give_up(self, task, batch, add):
        """End a task; returns its ``events.TaskEnded``."""
        decisionlog.log_given_up(task)
        metrics.GIVEN_UP.inc()
        now_ms = self._clock.read_unix_ms()
        decision = planning.explain_crasher(task, now_ms)
        add(batch, events.DecisionMade(decision))
        failed = data.TaskState.FAILED
        ended = events.TaskEnded(task.id, task.attempt, failed, crasher=True)
        add(batch, ended)
        return ended

    def _find_cleared(self):
        """Return the suspects that have kept at work for long.

        What a silent VM runs may have ended long ago.
        """
        now = self._clock.read_monotonic()
        held = {
            (task.id, task.attempt): task
            for task in self._state.suspects.values()
            if task.vm
        }
        self._since = {
            name: since for name, since in self._since.items() if name in held
        }
        return [
            held[name]
            for name, since in self._since.items()
            if (now - since) * _MS > suspects.YOUNG_MS
            and not self._members.is_silent(held[name].vm, now)
        ]

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Gives up tasks that crash the workers that start them, and clears others.

An attempt that goes with its worker is no failure of its task: VMs are lost
every day. But a task that crashes each worker is begun for ever if nobody
counts, and takes down all that runs beside it each time. What is counted, and
how much is enough, is in :mod:`portwharf.scheduler.suspects`.
"""

from portwharf.core import data
from portwharf.scheduler import decisionlog
from portwharf.scheduler.decisions import planning
from portwharf.scheduler import events
from portwharf.scheduler import metrics
from portwharf.scheduler import suspects

_MS = 1000


class CrashLoops:
    """The suspects of one owner; for its deciding thread."""

    def __init__(self, clock, state, members):
        """Take the shard's state and its ``membership.Membership``."""
        self._clock = clock
        self._state = state
        self._members = members
        self._times = suspects.CrashTimes(clock.read_monotonic())
        # When each attempt of a suspect was told to run, by (task, attempt).
        self._since = {}
        # Attempts that were begun in calm, to see whether they crash again.
        self._tried = set()
        # Tasks that a worker crashed under, as told in this pass.
        self._crashed = []

    def take_report(self, vm, report):
        """Take a ``messages.TaskReport`` that the state has taken."""
        now = self._clock.read_monotonic()
        if report.crash:
            self._times.note(suspects.name_crash(vm, report.crash), now)
        if report.task not in self._state.suspects:
            return
        if report.crash:
            self._crashed.append(self._state.tasks[report.task])
        elif report.state == data.RunState.RUNNING:
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
            if len(task.crashes) >= suspects.SUSPICIOUS:
                decisionlog.log_suspect(task)
        for task in list(self._state.suspects.values()):
            if self._judge_task(task) is suspects.Verdict.GIVE_UP:
                ended = self._give_up(task, batch, add)
                note_ended(ended, batch)
        for task in self._find_cleared():
            decisionlog.log_cleared(task)
            add(batch, events.TaskCleared(task.id))
        metrics.SUSPECTS.set(len(self._state.suspects))

    def list_held(self):
        """Return the ids of tasks that are not to be placed now."""
        return {
            task.id
            for task in self._state.suspects.values()
            if self._judge_task(task) is suspects.Verdict.WAIT
        }

    def mark_unsteady(self, views):
        """Mark the VMs whose workers have crashed lately.

        :param views: list of ``vmview.VmView``
        """
        now = self._clock.read_monotonic()
        unsteady = self._times.list_unsteady(now)
        for view in views:
            view.unsteady = view.vm.name in unsteady

    def note_placed(self, task):
        """Note that a task is begun; as a trial, if it was held back."""
        if len(task.crashes) >= suspects.SUSPICIOUS:
            self._tried.add((task.id, task.attempt))

    def _judge_task(self, task):
        now = self._clock.read_monotonic()
        tried = (task.id, task.attempt) in self._tried
        return suspects.judge(self._state, task, self._times, tried, now)

    def _give_up(self, task, batch, add):
        """End a task; returns its ``events.TaskEnded``."""
        decisionlog.log_given_up(task)
        metrics.GIVEN_UP.inc()
        self._times.forget(one.name for one in task.crashes)
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
        known = {
            (task.id, task.attempt): task
            for task in self._state.suspects.values()
        }
        self._tried.intersection_update(known)
        self._since = {
            name: since
            for name, since in self._since.items()
            if name in known and known[name].vm
        }
        return [
            known[name]
            for name, since in self._since.items()
            if (now - since) * _MS > suspects.YOUNG_MS
            and not self._members.is_silent(known[name].vm, now)
        ]

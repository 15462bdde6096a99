# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Fails tasks that crash the workers that start them, and clears others.

An attempt that is lost with its worker doesn't count as a failure of its
task, because VMs are lost every day. Without a separate count, a task that
crashes every worker would be restarted forever and would take down everything
beside it each time. :mod:`portwharf.scheduler.suspects` defines what is
counted and when a task is given up.
"""

from portwharf.core import data
from portwharf.scheduler import decisionlog
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler import events
from portwharf.scheduler import metrics
from portwharf.scheduler import suspects

_MS_PER_SECOND = 1000


class CrashLoopDetector:
    """Tracks one owner's suspects; used only by its deciding thread."""

    def __init__(self, clock, state, members):
        """Take the shard's state and its ``membership.Membership``."""
        self._clock = clock
        self._state = state
        self._members = members
        self._times = suspects.CrashHistory(clock.read_monotonic())
        # Time at which a suspect's attempt was reported as running, by (task,
        # attempt).
        self._running_since = {}
        # Number of the task's crashes before each attempt that was started as
        # a trial, by (task, attempt).
        self._trials = {}
        # Tasks whose workers crashed, as reported in this pass.
        self._crashed = []

    def record_report(self, vm, report):
        """Process a ``messages.TaskReport``, after the state has."""
        now = self._clock.read_monotonic()
        if report.crash:
            self._record_crash(vm, report, now)
        elif report.state == data.RunState.SUCCEEDED:
            self._times.clear_task(report.task)
        if report.task not in self._state.suspects:
            return
        if report.crash:
            self._crashed.append(self._state.tasks[report.task])
        elif report.state == data.RunState.RUNNING:
            name = (report.task, report.attempt)
            self._running_since.setdefault(name, now)

    def _record_crash(self, vm, report, now):
        """Record a worker's crash and the task if it may have caused it."""
        name = suspects.make_crash_name(vm, report.crash)
        self._times.record(name, now)
        task = self._state.tasks.get(report.task)
        if task is not None and suspects.is_possible_cause(
            report.ran_ms, report.listed_ms
        ):
            unit = suspects.find_failure_unit(self._state, task)
            self._times.record_cause(name, task.id, unit)

    def resolve_suspects(self, batch, add, note_ended):
        """Give up or clear suspects.

        Must be called after all reports of a pass: suspects can be compared
        only once every task that a crash ended has been counted.

        :param add: function of a batch and an event that applies the event
        :param note_ended: function of an event and a batch that handles the
            end of a task
        """
        crashed, self._crashed = self._crashed, []
        for task in crashed:
            if len(task.crashes) >= suspects.SUSPECT_CRASHES:
                decisionlog.log_suspect(task)
        for task in list(self._state.suspects.values()):
            if self._assess(task) is suspects.Verdict.GIVE_UP:
                ended = self._give_up(task, batch, add)
                note_ended(ended, batch)
        for task in self._list_cleared():
            decisionlog.log_cleared(task)
            self._times.clear_task(task.id)
            add(batch, events.TaskCleared(task.id))
        metrics.SUSPECTS.set(len(self._state.suspects))

    def list_held_back(self):
        """Return the ids of tasks that must not be placed now."""
        return {
            task.id
            for task in self._state.suspects.values()
            if self._assess(task) is suspects.Verdict.HOLD
        }

    def mark_unstable(self, views):
        """Mark the VMs whose workers crashed recently.

        :param views: list of ``vmview.VmView``
        """
        now = self._clock.read_monotonic()
        unstable = self._times.list_unstable_vms(now)
        for view in views:
            view.unsteady = view.vm.name in unstable

    def mark_suspects(self, views):
        """Mark the VMs that run suspects.

        :param views: list of ``vmview.VmView``
        """
        if not self._state.suspects:
            return
        settled_by = self._clock.read_monotonic() - suspects.SETTLED_SECONDS
        for view in views:
            for task in self._state.held[view.vm.name].values():
                if not task.crashes:
                    continue
                unit = suspects.find_failure_unit(self._state, task)
                since = self._running_since.get((task.id, task.attempt))
                is_starting = since is None or since > settled_by
                view.record_suspect(unit, len(task.crashes), is_starting)

    def record_placement(self, task):
        """Record the placement of a task, as a trial if it is a suspect."""
        if len(task.crashes) >= suspects.SUSPECT_CRASHES:
            self._trials[(task.id, task.attempt)] = len(task.crashes)

    def _assess(self, task):
        now = self._clock.read_monotonic()
        is_trial = self._has_crashed_in_trial(task)
        return suspects.assess(self._state, task, self._times, is_trial, now)

    def _has_crashed_in_trial(self, task):
        """Return whether a task's last attempt was a trial and crashed.

        A trial that was refused or lost with its VM proves nothing.
        """
        before = self._trials.get((task.id, task.attempt))
        return before is not None and len(task.crashes) > before

    def _give_up(self, task, batch, add):
        """Fail a task; returns its ``events.TaskEnded``."""
        decisionlog.log_given_up(task, self._has_crashed_in_trial(task))
        metrics.GIVEN_UP.inc()
        self._times.forget(one.name for one in task.crashes)
        now_ms = self._clock.read_unix_ms()
        decision = pass_inputs.explain_crasher(task, now_ms)
        add(batch, events.DecisionMade(decision))
        failed = data.TaskState.FAILED
        ended = events.TaskEnded(task.id, task.attempt, failed, crasher=True)
        add(batch, ended)
        return ended

    def _list_cleared(self):
        """Return the suspects that have run beyond their startup.

        Tasks of silent VMs are left out because they may have ended long ago.
        """
        now = self._clock.read_monotonic()
        known = {
            (task.id, task.attempt): task
            for task in self._state.suspects.values()
        }
        self._trials = {
            name: count
            for name, count in self._trials.items()
            if name in known
        }
        self._running_since = {
            name: since
            for name, since in self._running_since.items()
            if name in known and known[name].vm
        }
        return [
            known[name]
            for name, since in self._running_since.items()
            if (now - since) * _MS_PER_SECOND > suspects.STARTUP_MS
            and not self._members.is_silent(known[name].vm, now)
        ]

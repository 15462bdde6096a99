# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Starts that are committed ahead, for when the store does not answer.

Nothing may begin that is not in the log, and the log cannot grow while the
store is down. So a few waiting batch tasks are given in advance to VMs
that have no room for them yet. In ordinary times they are placed there or
elsewhere as room comes up. While an append is stalled the owner begins one
whenever tasks that ended on its VM have made room, which the side checks.

An owner may take a prepared task back only while it knows that nobody has
begun it: it has not done so itself, and the side has told on this
connection all that it runs. For a silent VM it has to wait as for a task
that runs.
"""

import dataclasses

from portwharf.core import data
from portwharf.scheduler import events
from portwharf.scheduler import reconcile

# Prepared tasks of one VM.
DEPTH = 2

_ENDED = frozenset(
    (
        data.RunState.SUCCEEDED,
        data.RunState.FAILED,
        data.RunState.CHECKPOINTED,
        data.RunState.GONE,
    )
)


@dataclasses.dataclass(slots=True)
class _Freed:
    """What ended attempts of a VM have freed since an append stalled."""

    room: data.Resources = dataclasses.field(default_factory=data.Resources)
    seen: set = dataclasses.field(default_factory=set)


class Preparation:
    """The prepared tasks of one shard, under one owner."""

    def __init__(self, state):
        self._state = state
        self._begun = set()
        self._freed = {}

    def choose(self, demands, views):
        """Prepare waiting batch tasks on VMs that could hold them.

        :param demands: list of ``backlog.Demand``, in order, with what
            is still waiting after a pass
        :returns: list of events
        """
        chosen = []
        space = {
            view.vm.name: DEPTH - len(self._state.prepared[view.vm.name])
            for view in views
            if not view.closed
        }
        for demand in demands:
            if not any(left > 0 for left in space.values()):
                # The rest need not even be asked for their tasks.
                break
            workload = demand.record.workload
            if workload.kind != data.Kind.BATCH or workload.job:
                continue
            if demand.has_suspects:
                # It is not to begin while nobody can count its crashes.
                continue
            rows = zip(demand.tasks, demand.attempts, strict=True)
            for task, attempt in rows:
                vm = _pick_vm(demand, views, space)
                if vm is None:
                    break
                space[vm] -= 1
                chosen.append(events.TaskPrepared(task, attempt, vm))
        return chosen

    def resolve(self, views, is_lost, may_replace):
        """Place prepared tasks where there is room, or take them back.

        :param views: list of ``vmview.VmView``; their room is used up
        :param is_lost: function of a VM's name
        :param may_replace: function of a VM's name
        :returns: list of events
        """
        rows = {view.vm.name: view for view in views}
        resolved = []
        for vm, tasks in self._state.prepared.items():
            for task in list(tasks.values()):
                event = self._resolve_task(
                    task, rows.get(vm), rows.values(), is_lost, may_replace
                )
                if event is not None:
                    resolved.append(event)
        return resolved

    def note_stalled(self, vm, reports):
        """Begin prepared tasks in the room that ended ones have left.

        Called for reports that come in while an append is stalled.

        :returns: list of ``messages.StartTask`` to send at once
        """
        freed = self._freed.setdefault(vm, _Freed())
        for report in reports:
            self._count_freed(vm, report, freed)
        starts = []
        for task in self._state.prepared[vm].values():
            size = self._state.find_workload(task.id).workload.resources
            name = (task.id, task.attempt)
            if name in self._begun or not size.fits(freed.room):
                continue
            freed.room = freed.room.subtract(size)
            self._begun.add(name)
            starts.append(reconcile.make_start(self._state, task))
        return starts

    def list_begun(self, vm):
        """Return the prepared tasks of a VM that were told to begin."""
        return [
            task
            for task in self._state.prepared[vm].values()
            if (task.id, task.attempt) in self._begun
        ]

    def note_confirmed(self):
        """Forget what was freed: the store answers again."""
        self._freed.clear()

    def _count_freed(self, vm, report, freed):
        name = (report.task, report.attempt)
        task = self._state.held[vm].get(report.task)
        if report.state not in _ENDED or name in freed.seen:
            return
        if task is None or task.attempt != report.attempt:
            return
        freed.seen.add(name)
        size = self._state.find_workload(task.id).workload.resources
        freed.room = freed.room.add(size)

    def _resolve_task(self, task, view, views, is_lost, may_replace):
        """Return the event that ends a task's being prepared, or None."""
        if is_lost(task.vm):
            workload = self._state.find_workload(task.id).workload
            if workload.exclusive and not may_replace(task.vm):
                return None
            return events.TaskRequeued(task.id, task.attempt)
        name = (task.id, task.attempt)
        if name in self._begun or view is None:
            return None
        if not view.reported:
            # It may have begun while the store was down, and its side has
            # not told this owner yet.
            return None
        if view.closed or reconcile.is_unwanted(self._state, task):
            return events.TaskRequeued(task.id, task.attempt)
        size = self._state.find_workload(task.id).workload.resources
        if size.fits(view.room):
            view.reserved = view.reserved.add(size)
            return events.TaskPlaced(task.id, task.attempt, task.vm)
        if any(not one.closed and size.fits(one.room) for one in views):
            return events.TaskRequeued(task.id, task.attempt)
        return None


def _pick_vm(demand, views, space):
    """Return the VM with the least prepared that could hold a task."""
    size = demand.record.workload.resources
    usable = [
        view.vm.name
        for view in views
        if space.get(view.vm.name, 0) > 0
        and view.vm.name not in demand.avoided
        and size.fits(view.capacity)
    ]
    return max(usable, key=lambda name: space[name], default=None)

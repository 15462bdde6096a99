# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How services and batch work press on each other, under one owner.

Brings together what sides measure, what the model has learnt of it, and
the remedies; and finds who has to make room for work that matters more.
All of it is the present owner's own knowledge: the next owner learns anew,
within some minutes, and cautiously until then.
"""

import collections

from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import interference
from portwharf.scheduler.decisions import remedies

# Less important work makes room only for work that matters more by this.
IMPORTANCE_MARGIN = 200
# A measurement of fewer requests says too little.
MIN_REQUESTS = 5
# Measurements of a replica older than this no longer speak for it.
STALE_SECONDS = 60.0
REASON_ROOM = 'makes-room'
_URGENT_BELOW = 10_000
_MS = 1000


class Pressure:
    """What one owner knows of the VMs of its shard."""

    def __init__(self, state, began):
        """Take the shard's state and the owner's clock at its beginning."""
        self._state = state
        self._began = began
        self.model = interference.Model()
        self.remedies = remedies.Remedies(self.model)
        self._timeline = interference.Timeline()
        self._peaks = remedies.Peaks()
        self._views = collections.defaultdict(dict)
        self._measured = {}
        self._begun = {}
        # Attempts that were told to work at less, and those that surely
        # work in full: what is in neither may be at less, by the order of
        # a former owner, or for want of a release that was lost.
        self._throttled = set()
        self._full = set()

    def note_begun(self, task, now):
        """Note that an attempt has been placed."""
        self._begun[task] = now
        self._full.add(task)

    def note_lost(self, vm):
        """Note that orders to a VM may have been lost."""
        held = self._state.held[vm].values()
        names = {(task.id, task.attempt) for task in held}
        self._throttled -= names
        self._full -= names

    def read_begun(self, name):
        """Return when an attempt was placed, as far as this owner knows."""
        return self._begun.get(name, self._began)

    def note_measures(self, vm, measures, targets, now):
        """Take what a side has measured of its services.

        :param measures: list of ``messages.ServiceMeasure``
        :param targets: map of service to ``configuration.Target``
        """
        for one in measures:
            target = targets.get(one.service)
            seconds = target.ms / _MS if target else 0.0
            peak = self._peaks.note((vm, one.service), one.load, now)
            self._views[vm][one.service] = remedies.ServiceView(
                one.service, one.load, peak, seconds
            )
            self._measured[(vm, one.service)] = now
            if one.count < MIN_REQUESTS:
                continue
            kinds = self._timeline.find(vm, now - one.age_ms / _MS)
            mean = one.mean_us / 1e6
            if kinds is not None:
                self.model.observe(one.service, one.load, kinds, mean)
            self.remedies.note_measured(vm, one.service, mean, seconds)

    def note_running(self, now):
        """Note what runs beside services, for late measurements."""
        for vm in self._views:
            kinds = remedies.count_kinds(self.list_neighbours(vm, now))
            self._timeline.note(vm, kinds, now)

    def fill_views(self, views, now):
        """Add to placement's views what runs on each VM."""
        for view in views:
            name = view.vm.name
            view.services = self._list_services(name, now)
            view.kinds = collections.Counter()
            if view.services:
                neighbours = self.list_neighbours(name, now)
                view.kinds = remedies.count_kinds(neighbours)

    def list_neighbours(self, vm, now):
        """Return the batch tasks that run on a VM."""
        found = []
        for task in self._state.held[vm].values():
            workload = self._state.find_workload(task.id).workload
            if workload.kind != data.Kind.BATCH:
                continue
            if task.state != data.TaskState.PLACED or workload.gang:
                continue
            name = (task.id, task.attempt)
            began = self._begun.get(name, self._began)
            found.append(
                remedies.Neighbour(
                    task.id,
                    backlog.find_kind(workload),
                    now - began,
                    workload.importance,
                    task.evictions,
                    workload.checkpointable,
                    name in self._throttled,
                    self._is_unsure(name, workload),
                    workload.resources,
                )
            )
        return found

    def _is_unsure(self, name, workload):
        """Tell whether an attempt may have been told to work at less.

        What fills is paced by its side, which nobody else may undo.
        """
        known = name in self._throttled or name in self._full
        return not known and not workload.fills

    def find_actions(self, now):
        """Return the remedies that are due."""
        actions = []
        for vm in list(self._views):
            services = self._list_services(vm, now)
            neighbours = self.list_neighbours(vm, now)
            action = self.remedies.find_action(
                vm, services, neighbours, now
            ) or self.remedies.find_release(vm, services, neighbours, now)
            if action is not None:
                self._note_throttled(action)
                actions.append(action)
        return actions

    def find_room(self, demands, views, over_quota, now):
        """Return evictions that make room for work that matters more.

        Urgent work has everything that is not urgent make room; services
        and important batch work what matters less by a margin, and teams
        within their quota the work of those over theirs.

        :param demands: what still waits after a pass, in order
        :param views: the VMs as the pass has left them
        :param over_quota: names of the teams over their quotas
        """
        actions = []
        # Work that may have to give way, by VM, and the wants for which
        # that came to nothing: thousands of jobs may want the same.
        movable = self._list_movable(views, over_quota, now)
        fruitless = set()
        for demand in demands:
            workload = demand.record.workload
            if workload.team in over_quota and not workload.urgent:
                continue
            if actions and not workload.urgent:
                # One at a time: what the first frees may serve the next.
                continue
            want = _find_want(demand)
            if want in fruitless or not demand.tasks:
                continue
            made = self._make_room(demand, views, movable, now)
            if not made and want is not None:
                fruitless.add(want)
            actions += made
        return actions

    def forget_ended(self):
        """Forget attempts that have ended."""
        live = {
            (task.id, task.attempt)
            for held in self._state.held.values()
            for task in held.values()
        }
        self._throttled &= live
        self._full &= live
        self._begun = {
            name: began for name, began in self._begun.items() if name in live
        }

    def _make_room(self, demand, views, movable, now):
        """Return the evictions on the cheapest VM for one waiting task."""
        workload = demand.record.workload
        best, least = [], float('inf')
        for view in views:
            if view.closed or view.vm.name in demand.avoided:
                continue
            if self._has_replica(demand, view):
                continue
            chosen = remedies.pick_to_make_room(
                workload.resources,
                view.room,
                movable[view.vm.name],
                _find_limit(workload),
            )
            cost = sum(remedies.compute_cost(one) for one in chosen)
            if chosen and cost < least:
                best, least = [(one, view.vm.name) for one in chosen], cost
        if not best:
            return []
        if not workload.urgent and not self.remedies.brake.take(now):
            return []
        return [remedies.Action(one.task, vm, REASON_ROOM) for one, vm in best]

    def _has_replica(self, demand, view):
        service = demand.record.workload.kind == data.Kind.SERVICE
        return service and demand.placed[view.vm.name] > 0

    def _list_movable(self, views, over_quota, now):
        """Return the tasks on each VM that are not urgent, by VM.

        Those of teams over their quota count as the least important.
        """
        movable = {}
        for view in views:
            found = movable[view.vm.name] = []
            for one in self.list_neighbours(view.vm.name, now):
                workload = self._state.find_workload(one.task).workload
                if workload.urgent:
                    continue
                if workload.team in over_quota:
                    one.importance = -1
                found.append(one)
        return movable

    def _list_services(self, vm, now):
        """Return the services that were measured on a VM lately."""
        return [
            view
            for service, view in self._views[vm].items()
            if now - self._measured[(vm, service)] < STALE_SECONDS
        ]

    def _note_throttled(self, action):
        task = self._state.tasks[action.task]
        name = (task.id, task.attempt)
        if 0 < action.percent < 100:
            self._throttled.add(name)
            self._full.discard(name)
        else:
            self._throttled.discard(name)
            self._full.add(name)


def _find_limit(workload):
    """Return the importance below which work gives way to a workload."""
    if workload.urgent or workload.kind == data.Kind.SERVICE:
        return _URGENT_BELOW
    return max(0, workload.importance - IMPORTANCE_MARGIN)


def _find_want(demand):
    """Return what decides who gives way to a batch demand, or None."""
    workload = demand.record.workload
    if workload.kind != data.Kind.BATCH or demand.avoided:
        return None
    size = workload.resources
    return (
        size.cpu_milli,
        size.memory_mb,
        size.accelerators,
        workload.urgent,
        _find_limit(workload),
    )

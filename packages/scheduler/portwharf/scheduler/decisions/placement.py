# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Places waiting tasks on VMs, in one pass over the waiting workloads.

A pass takes the workloads in the order of ``backlog`` and gives each task the
VM that ``vm_choice`` picks. Tasks of one workload are alike, so that the first
one that fits nowhere ends the workload's turn. Every placement carries the
decision that ``explain`` shows.

Moving tasks that are already placed is the business of ``task_moves`` and
``service_protection``.
"""

import dataclasses

from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import gangs
from portwharf.scheduler.decisions import vm_choice
from portwharf.scheduler import events

REASON_PLACED = 'placed'
REASON_NEVER = 'no-worker-can-ever-hold-it'
REASON_QUOTA = 'team-quota-is-used-up'


@dataclasses.dataclass(slots=True)
class UnplacedWorkload:
    """Why a workload waits; :func:`explain_wait` makes a decision of it.

    :param record: its ``state.WorkloadRecord``
    :param choice: the ``vm_choice.Choice`` that found no VM, or None
    """

    record: object = None
    reason: str = ''
    choice: object = None


@dataclasses.dataclass(slots=True)
class Placement:
    """The VM chosen for one task, and why.

    :param ticket: the policy's ticket for this VM, or ''
    """

    task: str = ''
    attempt: int = 0
    vm: str = ''
    decision: events.Decision = None
    ticket: str = ''


@dataclasses.dataclass(slots=True)
class PlacementResult:
    """The result of one pass.

    :param ordered: the demands, in the order in which they were served
    :param placements: a :class:`Placement` for each placed task
    :param waiting: an :class:`UnplacedWorkload` for each demand that was not
        placed in full
    :param judge: as for :func:`place_demands`
    :param hopeless: the failed ``vm_choice.Choice`` by shape of task. Room
        only shrinks during a pass, so that a second task of the shape is not
        tried; this keeps a pass over thousands of waiting jobs short.
    """

    ordered: list = dataclasses.field(default_factory=list)
    placements: list = dataclasses.field(default_factory=list)
    waiting: list = dataclasses.field(default_factory=list)
    judge: object = None
    hopeless: dict = dataclasses.field(default_factory=dict)


def place_demands(demands, views, quotas, now_ms, predict_effect=None):
    """Choose a VM for as many waiting tasks as can be placed.

    :param demands: list of ``backlog.Demand``
    :param views: list of ``vmview.VmView``; placed tasks are added to them
    :param quotas: a ``backlog.Quotas``
    :param now_ms: wall time, for the decisions
    :param predict_effect: function that returns whether services keep their
        targets beside one more task, and at what cost
        (``Remedies.predict_effect``), or None
    :returns: a :class:`PlacementResult`
    """
    result = PlacementResult()
    result.judge = predict_effect
    borrowers = []
    result.ordered = backlog.order_demands(demands, now_ms)
    for demand in result.ordered:
        failed = result.hopeless.get(_get_shape(demand))
        if failed is not None and demand.weight >= failed.weight:
            waiting = UnplacedWorkload(demand.record, failed.reason, failed)
            result.waiting.append(waiting)
        elif not _place_demand(demand, views, quotas, now_ms, result):
            borrowers.append(demand)
    # Room that no team within its quota could use is lent to the others.
    for demand in borrowers:
        if demand.record.workload.kind == data.Kind.BATCH:
            _place_demand(
                demand, views, backlog.Quotas({}, {}), now_ms, result
            )
    return result


def check_placeable(workload, views):
    """Check that some known VM could ever hold a task of a workload.

    A worker's capacity may shrink and grow again, so that the largest one it
    has reported counts.

    :returns: None, or the ``data.Problem`` to report to the operator
    """
    size = workload.resources
    if not views:
        return None
    if any(size.fits(view.largest) for view in views):
        return None
    if any(view.largest.cpu_milli == 0 for view in views):
        # Some workers have not reported their capacity yet.
        return None
    nearest = _find_nearest(size, views)
    return data.Problem(
        code=REASON_NEVER,
        field='workload.resources',
        value=describe_resources(size),
        text='no worker of the cluster can ever hold one task',
        remedy=f'ask for at most {describe_resources(nearest)}',
    )


def describe_resources(size):
    """Return an amount of resources as text."""
    text = f'{size.cpu_milli / 1000:g} processors, {size.memory_mb} MB'
    if size.accelerators:
        text += f', {size.accelerators} accelerators'
    return text


def _place_demand(demand, views, quotas, now_ms, result):
    """Place as many of a demand's tasks as possible.

    :returns: False if only its team's quota prevented more
    """
    workload = demand.record.workload
    if workload.same_rack:
        demand.rack = gangs.pick_rack(demand, views)
    if workload.gang:
        return _place_gang(demand, views, quotas, now_ms, result)
    chooser = vm_choice.VmChooser(demand, views, result.judge)
    while demand.tasks and len(result.placements) < backlog.MAX_PLACEMENTS:
        if not quotas.has_room(workload.team, workload.resources):
            result.waiting.append(
                UnplacedWorkload(demand.record, REASON_QUOTA)
            )
            return False
        choice = chooser.choose()
        if choice.view is None:
            shape = _get_shape(demand)
            if shape is not None:
                result.hopeless[shape] = choice
            waiting = UnplacedWorkload(demand.record, choice.reason, choice)
            result.waiting.append(waiting)
            return True
        quotas.reserve(workload.team, workload.resources)
        chooser.record_placement(choice.view)
        _record_placement(demand, choice, now_ms, result)
    return True


def _place_gang(demand, views, quotas, now_ms, result):
    """Place all tasks of a gang, or none.

    :returns: False if only its team's quota prevented it
    """
    workload = demand.record.workload
    if not demand.tasks:
        return True
    size = gangs.sum_sizes(workload)
    if not quotas.has_room(workload.team, size):
        result.waiting.append(UnplacedWorkload(demand.record, REASON_QUOTA))
        return False
    choices = gangs.choose_vms(demand, views, result.judge)
    failed = choices[-1]
    if failed.view is None:
        waiting = UnplacedWorkload(demand.record, failed.reason, failed)
        result.waiting.append(waiting)
        return True
    quotas.reserve(workload.team, size)
    by_name = {view.vm.name: view for view in views}
    for choice in choices:
        vm_choice.count_placement(demand, by_name[choice.view.vm.name])
        _record_placement(demand, choice, now_ms, result)
    return True


def _record_placement(demand, choice, now_ms, result):
    """Add the placement of a demand's next task to the result."""
    task = demand.tasks.pop(0)
    attempt = demand.attempts.pop(0)
    name = choice.view.vm.name
    decision = events.Decision(
        now_ms,
        REASON_PLACED,
        task,
        name,
        choice.list_refusals(),
        choice.parts,
    )
    ticket = demand.tickets.get(name, '')
    result.placements.append(Placement(task, attempt, name, decision, ticket))


def _get_shape(demand):
    """Return a key that is equal for batch tasks that fit on the same VMs.

    :returns: None if the task's fit depends on more than such a key
    """
    workload = demand.record.workload
    if (
        workload.kind != data.Kind.BATCH
        or demand.avoided
        or demand.moved_from_vms
    ):
        return None
    if workload.most_per_vm or workload.gang or workload.ticket_ms:
        return None
    if demand.has_suspects:
        return None
    size = workload.resources
    return (
        size.cpu_milli,
        size.memory_mb,
        size.accelerators,
        workload.team,
        workload.program,
        workload.fills,
        workload.pool,
        workload.label,
        demand.is_selective,
        demand.min_pace,
        demand.is_starving,
    )


def explain_wait(waiting, now_ms):
    """Return the ``events.Decision`` that explains why a workload waits."""
    workload = waiting.record.workload
    if waiting.reason == REASON_QUOTA:
        return events.Decision(
            now_ms,
            REASON_QUOTA,
            waiting.record.id,
            detail=f'team {workload.team} has reserved its quota',
            advice='wait for tasks of the team to end, or raise the quota',
        )
    size = describe_resources(workload.resources)
    return events.Decision(
        now_ms,
        waiting.reason,
        waiting.record.id,
        refusals=waiting.choice.list_refusals(),
        detail=f'one task needs {size}',
        advice='wait for room, lower the size, or raise the importance',
    )


def _find_nearest(size, views):
    """Return ``size`` cut down to the VM that could hold most of it."""
    best = max(
        (view.capacity for view in views),
        key=lambda capacity: _sum_coverage(capacity, size),
    )
    return data.Resources(
        min(size.cpu_milli, best.cpu_milli),
        min(size.memory_mb, best.memory_mb),
        min(size.accelerators, best.accelerators),
    )


def _sum_coverage(capacity, size):
    """Return the sum of a size's shares that a capacity covers, 0 to 3."""
    return (
        min(1.0, capacity.cpu_milli / max(1, size.cpu_milli))
        + min(1.0, capacity.memory_mb / max(1, size.memory_mb))
        + min(1.0, capacity.accelerators / max(1, size.accelerators))
    )

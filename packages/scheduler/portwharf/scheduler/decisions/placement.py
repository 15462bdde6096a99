# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Where waiting tasks go: the hard limits first, then a score.

A pass goes over the waiting workloads in order of urgency, importance,
deadline and age, and gives each task the VM with the lowest score among
those that it fits on. Tasks of one workload are alike, so that the first
one that fits nowhere settles the rest. Every choice keeps the addends of
its score and the count of VMs refused by each reason, for ``explain``.

What this module leaves out: the choice of one VM (``choosing``), and when a
placed task has to move again.
"""

import dataclasses

from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import choosing
from portwharf.scheduler.decisions import gangs
from portwharf.scheduler import events

REASON_PLACED = 'placed'
REASON_NEVER = 'no-worker-can-ever-hold-it'
REASON_QUOTA = 'team-quota-is-used-up'


@dataclasses.dataclass(slots=True)
class Waiting:
    """Why a workload waits; made into words only for who asks."""

    record: object = None
    reason: str = ''
    choice: object = None


@dataclasses.dataclass(slots=True)
class Placement:
    """One task's new place and why.

    :param ticket: what the policy gave for this place, or ''
    """

    task: str = ''
    attempt: int = 0
    vm: str = ''
    decision: events.Decision = None
    ticket: str = ''


@dataclasses.dataclass(slots=True)
class Pass:
    """What one pass decided.

    :param ordered: the demands, in the order in which they were served
    :param waiting: a :class:`Waiting` for each that could not be placed
    :param hopeless: shapes of tasks that fitted nowhere, with the choice
        that came to nothing. Room only shrinks during a pass, so that a
        second task of the shape need not be tried; this keeps a pass over
        thousands of waiting jobs short.
    """

    ordered: list = dataclasses.field(default_factory=list)
    placements: list = dataclasses.field(default_factory=list)
    waiting: list = dataclasses.field(default_factory=list)
    judge: object = None
    hopeless: dict = dataclasses.field(default_factory=dict)


def place_demands(demands, views, quotas, now_ms, judge=None):
    """Choose a VM for as many waiting tasks as can be placed.

    :param demands: list of ``backlog.Demand``
    :param views: list of ``vmview.VmView``; their ``reserved`` grows
    :param quotas: a ``backlog.Quotas``
    :param now_ms: wall time, for the decisions
    :param judge: function of services, kinds and a kind, that tells whether
        targets hold and what it costs (``Remedies.judge``), or None
    :returns: a :class:`Pass`
    """
    done = Pass()
    done.judge = judge
    borrowers = []
    done.ordered = backlog.order_demands(demands, now_ms)
    for demand in done.ordered:
        known = done.hopeless.get(_find_shape(demand))
        if known is not None and demand.weight >= known.weight:
            waiting = Waiting(demand.record, known.reason, known)
            done.waiting.append(waiting)
        elif not _place_demand(demand, views, quotas, now_ms, done):
            borrowers.append(demand)
    # What nobody within a quota could use is lent to those over theirs.
    for demand in borrowers:
        if demand.record.workload.kind == data.Kind.BATCH:
            _place_demand(demand, views, backlog.Quotas({}, {}), now_ms, done)
    return done


def check_placeable(workload, views):
    """Tell whether any known VM could hold a task of a workload.

    A worker's room may shrink and grow again: what it has shown once counts.

    :returns: None, or the data.Problem that the operator should hear
    """
    size = workload.resources
    if not views:
        return None
    if any(size.fits(view.largest) for view in views):
        return None
    if any(view.largest.cpu_milli == 0 for view in views):
        # Not all have told their capacity yet: too early to say never.
        return None
    near = _find_nearest(size, views)
    return data.Problem(
        code=REASON_NEVER,
        field='workload.resources',
        value=describe_resources(size),
        text='no worker of the cluster can ever hold one task',
        remedy=f'ask for at most {describe_resources(near)}',
    )


def describe_resources(size):
    """Return an amount as text for people."""
    text = f'{size.cpu_milli / 1000:g} processors, {size.memory_mb} MB'
    if size.accelerators:
        text += f', {size.accelerators} accelerators'
    return text


def _place_demand(demand, views, quotas, now_ms, done):
    """Place a demand's tasks, taking them off its list.

    :returns: False if only its team's quota was in the way
    """
    workload = demand.record.workload
    if workload.same_rack:
        demand.rack = gangs.pick_rack(demand, views)
    if workload.gang:
        return _place_gang(demand, views, quotas, now_ms, done)
    while demand.tasks and len(done.placements) < backlog.MAX_PLACEMENTS:
        if not quotas.has_room(workload.team, workload.resources):
            done.waiting.append(Waiting(demand.record, REASON_QUOTA))
            return False
        choice = choosing.choose_vm(demand, views, done.judge)
        if choice.view is None:
            shape = _find_shape(demand)
            if shape is not None:
                done.hopeless[shape] = choice
            waiting = Waiting(demand.record, choice.reason, choice)
            done.waiting.append(waiting)
            return True
        quotas.reserve(workload.team, workload.resources)
        choosing.count_placed(demand, choice.view)
        _take(demand, choice, now_ms, done)
    return True


def _place_gang(demand, views, quotas, now_ms, done):
    """Place all tasks of a gang, or none.

    :returns: False if only its team's quota was in the way
    """
    workload = demand.record.workload
    if not demand.tasks:
        return True
    whole = gangs.sum_sizes(workload)
    if not quotas.has_room(workload.team, whole):
        done.waiting.append(Waiting(demand.record, REASON_QUOTA))
        return False
    choices = gangs.choose_all(demand, views, done.judge)
    failed = choices[-1]
    if failed.view is None:
        waiting = Waiting(demand.record, failed.reason, failed)
        done.waiting.append(waiting)
        return True
    quotas.reserve(workload.team, whole)
    rows = {view.vm.name: view for view in views}
    for choice in choices:
        choosing.count_placed(demand, rows[choice.view.vm.name])
        _take(demand, choice, now_ms, done)
    return True


def _take(demand, choice, now_ms, done):
    """Note that a demand's next task goes where a choice says."""
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
    done.placements.append(Placement(task, attempt, name, decision, ticket))


def _find_shape(demand):
    """Return what decides where a batch task fits, or None."""
    workload = demand.record.workload
    if workload.kind != data.Kind.BATCH or demand.avoided or demand.shuns:
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
        demand.choosy,
    )


def explain_wait(waiting, now_ms):
    """Return the decision that says why a workload waits."""
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
    """Return the largest size like ``size`` that some VM could hold."""
    best = max(
        (view.capacity for view in views),
        key=lambda capacity: _share(capacity, size),
    )
    return data.Resources(
        min(size.cpu_milli, best.cpu_milli),
        min(size.memory_mb, best.memory_mb),
        min(size.accelerators, best.accelerators),
    )


def _share(capacity, size):
    """Return the share of a size that a capacity covers, 0 to 3."""
    return (
        min(1.0, capacity.cpu_milli / max(1, size.cpu_milli))
        + min(1.0, capacity.memory_mb / max(1, size.memory_mb))
        + min(1.0, capacity.accelerators / max(1, size.accelerators))
    )

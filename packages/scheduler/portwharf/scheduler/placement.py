# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Where waiting tasks go: the hard limits first, then a score.

A pass goes over the waiting workloads in order of urgency, importance,
deadline and age, and gives each task the VM with the lowest score among
those that it fits on. Tasks of one workload are alike, so that the first
one that fits nowhere settles the rest. Every choice keeps the addends of
its score and the count of VMs refused by each reason, for ``explain``.

What this module leaves out: when a placed task has to move again.
"""

import collections
import dataclasses

from portwharf.core import data
from portwharf.core import ids
from portwharf.scheduler import events
from portwharf.scheduler import scoring

# Tasks placed in one pass; the rest waits for the next.
MAX_PLACEMENTS = 200

REFUSED_SLOWS = 'would-slow-a-service'
REASON_PLACED = 'placed'
REASON_NO_ROOM = 'no-worker-has-room-now'
REASON_NEVER = 'no-worker-can-ever-hold-it'
REASON_NO_WORKERS = 'no-worker-is-known'
REASON_QUOTA = 'team-quota-is-used-up'

# Importance that waiting adds, so that nothing starves.
AGEING_A_MINUTE = 2.0
MAX_AGEING = 400.0
_NO_DEADLINE = float('inf')
# Below this a filling task rather waits for another VM.
_LEAST_PACE = 0.35
# A job that is late is served last, but not for longer than this.
_PATIENCE_MS = 30_000
# What slowing services a little counts against an even fill.
_INTERFERENCE = 6.0


class Demand:
    """A workload with waiting tasks.

    Which tasks wait is worked out when it is first asked for: in a pass over
    thousands of jobs most are never asked.
    """

    __slots__ = (
        '_attempts',
        '_placed',
        '_tasks',
        'avoided',
        'choosy',
        'record',
    )

    def __init__(self, record, avoided=frozenset()):
        """Take a ``state.WorkloadRecord``.

        :param avoided: VM names that its tasks keep away from
        """
        self.record = record
        self.avoided = avoided
        # It rather waits than goes where it would hardly work.
        self.choosy = True
        self._tasks = None
        self._attempts = None
        self._placed = None

    @property
    def tasks(self):
        """Ids of the waiting tasks, in order; placed ones are taken off."""
        if self._tasks is None:
            self._list_tasks()
        return self._tasks

    @property
    def attempts(self):
        """The number of the next attempt of each waiting task."""
        if self._attempts is None:
            self._list_tasks()
        return self._attempts

    @property
    def placed(self):
        """Counter of VM names where its tasks are."""
        if self._placed is None:
            self._placed = collections.Counter(
                task.vm for task in self.record.tasks if task.vm
            )
        return self._placed

    def take_any(self):
        """Go wherever there is room: it has waited for long enough."""
        self.choosy = False
        self.avoided = frozenset()

    @property
    def starves(self):
        """Whether it has waited for long and has nothing running.

        One of its tasks then goes where only memory is free: a job that
        stands still is worse than one that works slowly.
        """
        return not self.choosy and not self.placed

    def _list_tasks(self):
        record = self.record
        limit = record.workload.count
        waiting = [
            task
            for task in record.tasks
            if task.state == data.TaskState.WAITING and task.number < limit
        ]
        most = min(limit, record.begun + MAX_PLACEMENTS)
        unbegun = range(record.begun, most)
        self._tasks = [task.id for task in waiting]
        self._tasks += [ids.make_task_id(record.id, n) for n in unbegun]
        self._attempts = [task.attempt + 1 for task in waiting]
        self._attempts += [1 for _ in unbegun]


@dataclasses.dataclass(slots=True)
class Waiting:
    """Why a workload waits; made into words only for who asks."""

    record: object = None
    reason: str = ''
    choice: object = None


@dataclasses.dataclass(slots=True)
class Placement:
    """One task's new place and why."""

    task: str = ''
    attempt: int = 0
    vm: str = ''
    decision: events.Decision = None


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


def order_demands(demands, now_ms):
    """Return demands in the order in which they are served."""
    return sorted(demands, key=lambda demand: _rank(demand.record, now_ms))


def place_demands(demands, views, quotas, now_ms, judge=None):
    """Choose a VM for as many waiting tasks as can be placed.

    :param demands: list of :class:`Demand`
    :param views: list of ``vmview.VmView``; their ``reserved`` grows
    :param quotas: a :class:`Quotas`
    :param now_ms: wall time, for the decisions
    :param judge: function of services, kinds and a kind, that tells whether
        targets hold and what it costs (``Remedies.judge``), or None
    :returns: a :class:`Pass`
    """
    done = Pass()
    done.judge = judge
    borrowers = []
    done.ordered = order_demands(demands, now_ms)
    for demand in done.ordered:
        known = done.hopeless.get(_find_shape(demand))
        if known is not None:
            waiting = Waiting(demand.record, known.reason, known)
            done.waiting.append(waiting)
        elif not _place_demand(demand, views, quotas, now_ms, done):
            borrowers.append(demand)
    # What nobody within a quota could use is lent to those over theirs.
    for demand in borrowers:
        if demand.record.workload.kind == data.Kind.BATCH:
            _place_demand(demand, views, Quotas({}, {}), now_ms, done)
    return done


def find_kind(workload):
    """Return what a batch workload's interference is learnt by."""
    return f'{workload.team}/{workload.program}'


def check_placeable(workload, views):
    """Tell whether any known VM could hold a task of a workload.

    :returns: None, or the data.Problem that the operator should hear
    """
    size = workload.resources
    if not views:
        return None
    if any(size.fits(view.capacity) for view in views):
        return None
    if any(view.capacity.cpu_milli == 0 for view in views):
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


class Quotas:
    """What each team may reserve, and has reserved.

    A team without a quota of its own has no limit.
    """

    def __init__(self, limits, reserved):
        """Take maps of team to Resources."""
        self._limits = limits
        self._reserved = collections.defaultdict(data.Resources, reserved)

    def has_room(self, team, size):
        """Tell whether a team may reserve this much more."""
        limit = self._limits.get(team)
        return limit is None or self._reserved[team].add(size).fits(limit)

    def reserve(self, team, size):
        """Count an amount against a team's quota."""
        self._reserved[team] = self._reserved[team].add(size)


def _rank_step(record, now_ms):
    """Return the rank of a job's step: by when it has to begin.

    Lasting work is served before others of its importance, to be whole.
    What is too late to matter waits for what is not, but not for ever.
    """
    workload = record.workload
    spent = now_ms - record.late_ms
    lasts = workload.kind == data.Kind.STANDING
    return (
        True,
        True,
        -workload.importance,
        0 < spent < _PATIENCE_MS and not lasts,
        not lasts,
        record.due_ms,
        record.id,
    )


def _rank(record, now_ms):
    workload = record.workload
    if workload.job:
        return _rank_step(record, now_ms)
    due = _NO_DEADLINE
    if workload.deadline_seconds:
        end = record.unix_ms + workload.deadline_seconds * 1000
        due = end - workload.run_seconds * 1000 - now_ms
    aged = (now_ms - record.unix_ms) * AGEING_A_MINUTE / 60_000
    return (
        not workload.urgent,
        workload.kind != data.Kind.SERVICE,
        -workload.importance - min(MAX_AGEING, aged),
        due,
        record.unix_ms,
        record.id,
    )


def _place_demand(demand, views, quotas, now_ms, done):
    """Place a demand's tasks, taking them off its list.

    :returns: False if only its team's quota was in the way
    """
    workload = demand.record.workload
    while demand.tasks and len(done.placements) < MAX_PLACEMENTS:
        if not quotas.has_room(workload.team, workload.resources):
            done.waiting.append(Waiting(demand.record, REASON_QUOTA))
            return False
        choice = _choose_vm(demand, views, done.judge)
        if choice.view is None:
            shape = _find_shape(demand)
            if shape is not None:
                done.hopeless[shape] = choice
            waiting = Waiting(demand.record, choice.reason, choice)
            done.waiting.append(waiting)
            return True
        task = demand.tasks.pop(0)
        attempt = demand.attempts.pop(0)
        if workload.kind == data.Kind.BATCH:
            choice.view.kinds[find_kind(workload)] += 1
        choice.view.add_task(workload)
        if choice.view.probe:
            choice.view.closed = 'quarantined'
        quotas.reserve(workload.team, workload.resources)
        demand.placed[choice.view.vm.name] += 1
        decision = events.Decision(
            now_ms,
            REASON_PLACED,
            task,
            choice.view.vm.name,
            choice.list_refusals(),
            choice.parts,
        )
        done.placements.append(
            Placement(task, attempt, choice.view.vm.name, decision)
        )
    return True


def _find_shape(demand):
    """Return what decides where a batch task fits, or None."""
    workload = demand.record.workload
    if workload.kind != data.Kind.BATCH or demand.avoided:
        return None
    if workload.most_per_vm or workload.gang:
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


@dataclasses.dataclass(slots=True)
class _Choice:
    """The best VM for one task, and why not the others."""

    view: object = None
    parts: list = dataclasses.field(default_factory=list)
    refusals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def reason(self):
        """Why there is no VM, if there is none."""
        return REASON_NO_ROOM if self.refusals else REASON_NO_WORKERS

    def list_refusals(self):
        return [
            events.Count(name, number)
            for name, number in sorted(self.refusals.items())
        ]


def _choose_vm(demand, views, judge):
    choice = _Choice()
    batch = demand.record.workload.kind == data.Kind.BATCH
    kind = find_kind(demand.record.workload)
    best = float('inf')
    spread = scoring.count_spread(demand, views)
    size = demand.record.workload.reserved
    lonely = demand.record.workload.kind == data.Kind.SERVICE
    for view in views:
        reason = _refuse(size, view) or _refuse_step(demand, view)
        if lonely and not reason and demand.placed[view.vm.name]:
            # One runner a VM: a second replica there would add nothing.
            reason = 'replica-there-already'
        elif not reason and view.vm.name in demand.avoided:
            reason = 'failed-there-lately'
        if reason:
            choice.refusals[reason] += 1
            continue
        parts = scoring.score_vm(demand, view, spread)
        if batch and judge is not None and view.services:
            holds, cost = judge(view.services, view.kinds, kind)
            if not holds:
                choice.refusals[REFUSED_SLOWS] += 1
                continue
            parts.append(events.Part('interference', _INTERFERENCE * cost))
        total = sum(part.value for part in parts)
        if total < best:
            best = total
            choice.view = view
            choice.parts = parts
    return choice


def _refuse(size, view):
    """Return why a VM cannot take a task of this size, or ''."""
    if view.closed:
        return view.closed
    room = view.room
    if size.cpu_milli > room.cpu_milli:
        return 'processors'
    if size.memory_mb > room.memory_mb:
        return 'memory'
    if size.accelerators > room.accelerators:
        return 'accelerators'
    return ''


def _refuse_step(demand, view):
    """Return why a VM cannot take a task of a job's step, or ''."""
    workload = demand.record.workload
    if not view.suits(workload):
        return 'other-pool-or-label'
    most = workload.most_per_vm
    if most and demand.placed[view.vm.name] >= most:
        return 'enough-of-them-there'
    if workload.fills and not demand.starves:
        room = view.capacity.cpu_milli - view.busy_milli
        if workload.resources.cpu_milli > room:
            return 'processors'
        if demand.choosy and view.predict_pace(workload) < _LEAST_PACE:
            return REFUSED_SLOWS
    return ''


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

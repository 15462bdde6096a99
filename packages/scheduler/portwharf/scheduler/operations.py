# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Operators' calls as a shard's owner carries them out.

A call that changes something gives events; it is answered once they are
in the log. A call that reads is answered from the state at once. Answers
and arguments are the plain classes below, packed for the entry that asked.
"""

import dataclasses

import result

from portwharf.core import codec
from portwharf.core import data
from portwharf.core import ids
from portwharf.scheduler.decisions import placement
from portwharf.scheduler import events


@dataclasses.dataclass(slots=True)
class Submission:
    """A workload to accept, under the operator's key or its own name."""

    key: str = ''
    workload: data.Workload = dataclasses.field(default_factory=data.Workload)


@dataclasses.dataclass(slots=True)
class Change:
    """New count and importance of a workload."""

    id: str = ''
    workload: data.Workload = dataclasses.field(default_factory=data.Workload)


@dataclasses.dataclass(slots=True)
class Query:
    """Names what a call is about; fields that a call does not use are ''.

    :param kind: one of ``data.Kind``, 0 for all
    """

    id: str = ''
    kind: int = 0
    team: str = ''


@dataclasses.dataclass(slots=True)
class Accepted:
    """The id of a workload and whether this call made it."""

    id: str = ''
    created: bool = False


@dataclasses.dataclass(slots=True)
class Cancelled:
    """How many tasks had not ended when they were cancelled."""

    tasks: int = 0


@dataclasses.dataclass(slots=True)
class WorkloadView:
    """A workload and how far it has come."""

    id: str = ''
    workload: data.Workload = dataclasses.field(default_factory=data.Workload)
    unix_ms: int = 0
    waiting: int = 0
    running: int = 0
    succeeded: int = 0
    failed: int = 0
    cancelled: int = 0
    unplaceable: bool = False


@dataclasses.dataclass(slots=True)
class WorkloadList:
    """Some workloads."""

    workloads: list[WorkloadView] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class TaskView:
    """A task for operators; fields as in the schema's ``Task``."""

    id: str = ''
    workload: str = ''
    state: str = ''
    attempt: int = 0
    vm: str = ''
    checkpoint: str = ''
    result: bytes = b''
    evictions: int = 0


@dataclasses.dataclass(slots=True)
class TaskList:
    """Some tasks."""

    tasks: list[TaskView] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Explanation:
    """What was decided about a workload or a task, oldest first."""

    subject: str = ''
    state: str = ''
    decisions: list[events.Decision] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class VmReport:
    """A VM as its owner sees it."""

    vm: data.Vm = dataclasses.field(default_factory=data.Vm)
    state: str = ''
    capacity: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    reserved: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    tasks: int = 0
    config_revision: int = 0


@dataclasses.dataclass(slots=True)
class TeamUse:
    """What a team has reserved in a shard."""

    team: str = ''
    reserved: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )


@dataclasses.dataclass(slots=True)
class ShardReport:
    """A shard as its owner sees it."""

    shard: int = 0
    owner: str = ''
    epoch: int = 0
    log_length: int = 0
    waiting: int = 0
    running: int = 0
    config_revision: int = 0
    vms: list[VmReport] = dataclasses.field(default_factory=list)
    teams: list[TeamUse] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Step:
    """What a changing call comes to.

    :param events: applied to the state already, to be logged
    :param answer: given to the operator after that
    :param stop: placed tasks that nobody wants any more
    """

    events: list = dataclasses.field(default_factory=list)
    answer: object = None
    stop: list = dataclasses.field(default_factory=list)


def make_workload_id(shard):
    """Return a new id, which tells the workload's shard."""
    return f'{shard}-{ids.make_id()}'


def read_shard(workload_id):
    """Return the shard of a workload's or task's id, or None."""
    number, dash, _ = workload_id.partition('-')
    return int(number) if dash and number.isdigit() else None


def submit(state, call, views, shard, now_ms):
    """Accept a workload, once for each key.

    :returns: Ok(Step), or Err(Problem)
    """
    key = call.key or call.workload.key
    known = state.find_by_key(key)
    if known is not None:
        return _answer_again(known, call.workload, key)
    problem = placement.check_placeable(call.workload, views)
    step = Step()
    if problem is not None:
        decision = _explain_refusal(call.workload.key, problem, now_ms)
        add_event(state, step, events.DecisionMade(decision))
        step.answer = problem
        return result.Ok(step)
    workload_id = make_workload_id(shard)
    add_event(
        state,
        step,
        events.WorkloadAccepted(workload_id, key, now_ms, call.workload),
    )
    step.answer = Accepted(workload_id, True)
    return result.Ok(step)


def change(state, call):
    """Change a workload's count and importance.

    :returns: Ok(Step), or Err(Problem)
    """
    record = state.workloads.get(call.id)
    if record is None or record.cancelled:
        return result.Err(describe_unknown(call.id))
    fixed = dataclasses.replace(
        call.workload,
        count=record.workload.count,
        importance=record.workload.importance,
    )
    if fixed != record.workload:
        return result.Err(
            data.Problem(
                'fixed-field',
                'workload',
                record.workload.name,
                'only count and importance can change',
                'cancel it and create a new one under another name',
            )
        )
    step = Step(answer=Accepted(call.id))
    event = events.WorkloadChanged(
        call.id, call.workload.count, call.workload.importance
    )
    add_event(state, step, event)
    step.stop = [
        task
        for task in record.tasks
        if task.vm and task.number >= record.workload.count
    ]
    return result.Ok(step)


def cancel(state, call):
    """Cancel a workload; doing it twice changes nothing more.

    :returns: Ok(Step), or Err(Problem)
    """
    record = state.workloads.get(call.id)
    if record is None:
        return result.Err(describe_unknown(call.id))
    step = Step()
    counts = state.count_states(record)
    unended = [s for s in counts if s not in data.ENDED_STATES]
    step.answer = Cancelled(sum(counts[s] for s in unended))
    if not record.cancelled:
        add_event(state, step, events.WorkloadCancelled(call.id))
    step.stop = [task for task in record.tasks if task.vm]
    return result.Ok(step)


def list_workloads(state, query, views):
    """Return the workloads of a kind and a team.

    :returns: a :class:`WorkloadList`
    """
    listed = WorkloadList()
    for record in state.workloads.values():
        if query.kind not in (0, record.workload.kind):
            continue
        if query.team not in ('', record.workload.team):
            continue
        listed.workloads.append(view_workload(state, record, views))
    return listed


def view_workload(state, record, views):
    """Return a workload with the counts of its tasks."""
    counts = state.count_states(record)
    running = sum(counts[held] for held in data.HELD_STATES)
    problem = placement.check_placeable(record.workload, views)
    return WorkloadView(
        record.id,
        record.workload,
        record.unix_ms,
        counts[data.TaskState.WAITING] + counts[data.TaskState.PREPARED],
        running,
        counts[data.TaskState.SUCCEEDED],
        counts[data.TaskState.FAILED],
        counts[data.TaskState.CANCELLED],
        problem is not None,
    )


def list_tasks(state, query):
    """Return the tasks of a workload.

    :returns: Ok(TaskList), or Err(Problem)
    """
    record = state.workloads.get(query.id)
    if record is None:
        return result.Err(describe_unknown(query.id))
    tasks = [
        TaskView(
            task.id,
            record.id,
            str(task.state),
            task.attempt,
            task.vm,
            task.checkpoint,
            task.result,
            task.evictions,
        )
        for task in state.list_tasks(record)
    ]
    return result.Ok(TaskList(tasks))


def explain(state, query, waiting, now_ms):
    """Return what was decided about a workload, a task or a refusal.

    :param waiting: ``placement.Waiting`` of workloads that wait, by id
    :returns: Ok(Explanation), or Err(Problem)
    """
    found = Explanation(query.id, decisions=state.history.find(query.id))
    record = state.workloads.get(query.id)
    if record is not None:
        found.state = _describe_counts(state.count_states(record))
    elif state.find_workload(query.id) is not None:
        record = state.find_workload(query.id)
        task = state.tasks.get(query.id)
        found.state = str(task.state if task else data.TaskState.WAITING)
    elif found.decisions:
        found.state = 'refused'
    else:
        return result.Err(describe_unknown(query.id))
    now = waiting.get(record.id) if record else None
    if now is not None:
        found.decisions.append(placement.explain_wait(now, now_ms))
    return result.Ok(found)


def read_arguments(cls, body):
    """Return a call's arguments.

    :returns: Ok(instance of cls), or Err(Problem)
    """
    try:
        return result.Ok(codec.unpack(cls, body))
    except ValueError as exc:
        return result.Err(
            data.Problem('bad-arguments', text=str(exc), remedy='report it')
        )


def _answer_again(known, workload, key):
    if _strip(known.workload) == _strip(workload):
        return result.Ok(Step(answer=Accepted(known.id)))
    return result.Err(
        data.Problem(
            'key-in-use',
            'key',
            key,
            'made another workload before',
            'use another key or name, or cancel and list what is there',
        )
    )


def _strip(workload):
    """Return a workload without what an operator may have changed."""
    return dataclasses.replace(workload, count=0, importance=0)


def describe_unknown(subject):
    return data.Problem(
        'unknown-id',
        'id',
        subject,
        'is not known here',
        'see "portwharf jobs" or "portwharf services" for ids',
    )


def _describe_counts(counts):
    parts = [f'{counts[s]} {s}' for s in data.TaskState if counts[s]]
    return ', '.join(parts) or 'no tasks'


def _explain_refusal(subject, problem, now_ms):
    return events.Decision(
        now_ms,
        problem.code,
        subject,
        detail=problem.describe(),
        advice=problem.remedy,
    )


def add_event(state, step, event):
    state.apply(event)
    step.events.append(event)

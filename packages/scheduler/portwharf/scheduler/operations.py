# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Executes operators' calls for a shard's owner.

A call that changes state produces events and is answered once they are logged.
A call that reads is answered from the state at once. Arguments and answers are
the data classes below, which the entry and the owner exchange.
"""

import dataclasses

import result

from portwharf.core import codec
from portwharf.core import data
from portwharf.core import ids
from portwharf.scheduler.decisions import placement
from portwharf.scheduler import events

# Code of arguments that cannot be read or held, however often they are sent.
CODE_BAD_ARGUMENTS = 'bad-arguments'


@dataclasses.dataclass(slots=True)
class Submission:
    """A workload to accept.

    :param key: idempotency key; the workload's own key if it is ''
    """

    key: str = ''
    workload: data.Workload = dataclasses.field(default_factory=data.Workload)


@dataclasses.dataclass(slots=True)
class Change:
    """A workload's id, and its new version.

    Only count and importance may differ from the current version.
    """

    id: str = ''
    workload: data.Workload = dataclasses.field(default_factory=data.Workload)


@dataclasses.dataclass(slots=True)
class Query:
    """Selects the objects of a call; each call uses some of the fields.

    :param kind: one of ``data.Kind``, 0 for all
    :param team: '' for all
    """

    id: str = ''
    kind: int = 0
    team: str = ''


@dataclasses.dataclass(slots=True)
class Accepted:
    """The id of a workload and whether this call created it."""

    id: str = ''
    created: bool = False


@dataclasses.dataclass(slots=True)
class Cancelled:
    """The number of tasks that a call has cancelled."""

    tasks: int = 0


@dataclasses.dataclass(slots=True)
class WorkloadView:
    """A workload and how many of its tasks are in each state.

    :param unplaceable: whether no VM is large enough for a task of it
    """

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
    """Answer to ``list-workloads``."""

    workloads: list[WorkloadView] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class TaskView:
    """A task with the fields of the schema's ``Task``."""

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
    """Answer to ``list-tasks``."""

    tasks: list[TaskView] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Explanation:
    """The decisions about a workload or a task, oldest first."""

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
    """The resources that a team has reserved in a shard."""

    team: str = ''
    reserved: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )


@dataclasses.dataclass(slots=True)
class CapacityReport:
    """The load of one capacity class: the filling or other work of a pool.

    :param fills: whether it is the pool's filling work
    :param rate_milli: processors at work for it, in thousandths
    :param backlog_seconds: remaining work of its jobs, in processor seconds
    :param is_short: whether there is less capacity than its ready work needs
    :param refused: submissions refused by this owner for lack of capacity
    :param returning: refused jobs that have a time to return at
    :param owed: the groups that are owed capacity, such as ``queue-2 zone b``
    """

    pool: str = ''
    fills: bool = False
    rate_milli: int = 0
    backlog_seconds: int = 0
    is_short: bool = False
    refused: int = 0
    returning: int = 0
    owed: list[str] = dataclasses.field(default_factory=list)


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
    capacity: list[CapacityReport] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class CallOutcome:
    """The outcome of a call that changes state.

    :param events: events to log, which are applied to the state already
    :param answer: sent to the operator after that
    :param stop: placed tasks to be stopped
    """

    events: list = dataclasses.field(default_factory=list)
    answer: object = None
    stop: list = dataclasses.field(default_factory=list)


def make_workload_id(shard):
    """Return a new workload id, which contains its shard."""
    return f'{shard}-{ids.make_id()}'


def read_shard(workload_id):
    """Return the shard of a workload's or task's id, or None."""
    number, dash, _ = workload_id.partition('-')
    return int(number) if dash and number.isdecimal() else None


def submit(state, call, views, shard, now_ms):
    """Accept a workload; submitting it again with its key changes nothing.

    :param call: a :class:`Submission`
    :param views: list of ``vmview.VmView``
    :returns: Ok(CallOutcome), or Err(Problem)
    """
    key = call.key or call.workload.key
    existing = state.find_by_key(key)
    if existing is not None:
        return _answer_resubmission(existing, call.workload, key)
    problem = placement.check_placeable(call.workload, views)
    outcome = CallOutcome()
    if problem is not None:
        decision = _make_refusal_decision(call.workload.key, problem, now_ms)
        add_event(state, outcome, events.DecisionMade(decision))
        outcome.answer = problem
        return result.Ok(outcome)
    workload_id = make_workload_id(shard)
    add_event(
        state,
        outcome,
        events.WorkloadAccepted(workload_id, key, now_ms, call.workload),
    )
    outcome.answer = Accepted(workload_id, True)
    return result.Ok(outcome)


def change(state, call):
    """Change a workload's count and importance.

    :param call: a :class:`Change`
    :returns: Ok(CallOutcome), or Err(Problem)
    """
    record = state.workloads.get(call.id)
    if record is None or record.cancelled:
        return result.Err(make_unknown_id(call.id))
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
    outcome = CallOutcome(answer=Accepted(call.id))
    event = events.WorkloadChanged(
        call.id, call.workload.count, call.workload.importance
    )
    add_event(state, outcome, event)
    outcome.stop = [
        task
        for task in record.tasks
        if task.vm and task.number >= record.workload.count
    ]
    return result.Ok(outcome)


def cancel(state, call):
    """Cancel a workload; cancelling it again changes nothing.

    :param call: a :class:`Query`
    :returns: Ok(CallOutcome), or Err(Problem)
    """
    record = state.workloads.get(call.id)
    if record is None:
        return result.Err(make_unknown_id(call.id))
    outcome = CallOutcome()
    counts = state.count_states(record)
    unended = [s for s in counts if s not in data.ENDED_STATES]
    outcome.answer = Cancelled(sum(counts[s] for s in unended))
    if not record.cancelled:
        add_event(state, outcome, events.WorkloadCancelled(call.id))
    outcome.stop = [task for task in record.tasks if task.vm]
    return result.Ok(outcome)


def list_workloads(state, query, views):
    """Return the workloads that a query selects.

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
    """Return a workload as :class:`WorkloadView`."""
    counts = state.count_states(record)
    running = sum(counts[held] for held in data.RESERVING_STATES)
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
        return result.Err(make_unknown_id(query.id))
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


def explain(state, query, waiting, now_ms, find_refusal=None):
    """Return the decisions about a workload, a task or a refused submission.

    :param waiting: ``placement.UnplacedWorkload`` of waiting workloads, by id
    :param find_refusal: function of a job's id that returns the
        ``events.Decision`` by which the job was refused, or None; as
        ``return_schedule.ReturnSchedule.explain``
    :returns: Ok(Explanation), or Err(Problem)
    """
    explanation = Explanation(query.id, decisions=state.history.find(query.id))
    record = state.workloads.get(query.id)
    if record is not None:
        explanation.state = _describe_counts(state.count_states(record))
    elif state.find_workload(query.id) is not None:
        record = state.find_workload(query.id)
        task = state.tasks.get(query.id)
        explanation.state = str(task.state if task else data.TaskState.WAITING)
    else:
        refusal = find_refusal(query.id) if find_refusal else None
        if refusal is not None:
            explanation.decisions.append(refusal)
        job_id = query.id.partition(ids.TASK_SEPARATOR)[0]
        if not explanation.decisions and job_id not in state.jobs:
            return result.Err(make_unknown_id(query.id))
        explanation.state = _describe_job(state, job_id, query.id)
    wait = waiting.get(record.id) if record else None
    if wait is not None:
        explanation.decisions.append(placement.explain_wait(wait, now_ms))
    return result.Ok(explanation)


def read_arguments(cls, body):
    """Decode a call's arguments.

    :returns: Ok(instance of cls), or Err(Problem)
    """
    try:
        return result.Ok(codec.unpack(cls, body))
    except ValueError as exc:
        return result.Err(
            data.Problem(
                CODE_BAD_ARGUMENTS,
                text=str(exc),
                remedy='report this as a bug',
            )
        )


def _answer_resubmission(existing, workload, key):
    if _clear_changeable(existing.workload) == _clear_changeable(workload):
        return result.Ok(CallOutcome(answer=Accepted(existing.id)))
    return result.Err(
        data.Problem(
            'key-in-use',
            'key',
            key,
            'is used by a workload with other fields',
            'use another key or name, or cancel the existing workload',
        )
    )


def _clear_changeable(workload):
    """Return a copy without the fields that operators may change."""
    return dataclasses.replace(workload, count=0, importance=0)


def make_unknown_id(subject):
    return data.Problem(
        'unknown-id',
        'id',
        subject,
        'does not exist in this shard',
        'see "portwharf jobs" or "portwharf services" for ids',
    )


def _describe_job(state, job_id, subject):
    """Return the state of a job, or of a part without a record, as text.

    :param subject: the job's id, or that of a workload or a task of it
    """
    record = state.jobs.get(job_id)
    if record is None:
        return 'refused'
    if subject != job_id:
        return 'not due yet, or ended'
    text = str(state.find_job_state(job_id))
    if not record.job.times:
        return text
    done = f'{record.succeeded} of {record.job.times} runs have succeeded'
    return f'{text}: {record.expanded} were due, {done}'


def _describe_counts(counts):
    parts = [f'{counts[s]} {s}' for s in data.TaskState if counts[s]]
    return ', '.join(parts) or 'no tasks'


def _make_refusal_decision(subject, problem, now_ms):
    return events.Decision(
        now_ms,
        problem.code,
        subject,
        detail=problem.describe(),
        advice=problem.remedy,
    )


def add_event(state, outcome, event):
    state.apply(event)
    outcome.events.append(event)

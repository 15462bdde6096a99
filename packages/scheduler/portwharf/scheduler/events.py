# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The events in a shard's log, one class for each kind.

An event carries all that :mod:`portwharf.scheduler.state` needs to apply it,
so that every process that reads the log restores the same state. Readers skip
kinds and fields that they do not know; an event whose meaning changes gets a
new kind.
"""

import dataclasses

from portwharf.core import codec
from portwharf.core import data


@dataclasses.dataclass(slots=True)
class Count:
    """A named number, such as the workers refused for one reason."""

    name: str = ''
    number: int = 0


@dataclasses.dataclass(slots=True)
class Part:
    """One term of a score."""

    name: str = ''
    value: float = 0.0


@dataclasses.dataclass(slots=True)
class Decision:
    """One decision of the scheduler, kept for ``explain``.

    The fields are those of ``Decision`` in the schema.
    """

    unix_ms: int = 0
    reason: str = ''
    subject: str = ''
    vm: str = ''
    refusals: list[Count] = dataclasses.field(default_factory=list)
    score: list[Part] = dataclasses.field(default_factory=list)
    detail: str = ''
    advice: str = ''


@dataclasses.dataclass(slots=True)
class OwnerChanged:
    """A process became the owner of the shard.

    :param members: the VMs whose majority confirms owners; set in the first
        entry of a log only
    """

    epoch: int = 0
    owner: str = ''
    members: list[data.Vm] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class MemberAdded:
    """A VM joined the shard, or came back with another address.

    :param votes: its acknowledgements confirm owners at once
    """

    vm: data.Vm = dataclasses.field(default_factory=data.Vm)
    votes: bool = True


@dataclasses.dataclass(slots=True)
class VoteGranted:
    """The acknowledgements of a member confirm owners from now on."""

    vm: str = ''


@dataclasses.dataclass(slots=True)
class MemberRemoved:
    """A VM was removed from the shard."""

    vm: str = ''


@dataclasses.dataclass(slots=True)
class WorkloadAccepted:
    """A workload of an operator was accepted."""

    id: str = ''
    key: str = ''
    unix_ms: int = 0
    workload: data.Workload = dataclasses.field(default_factory=data.Workload)


@dataclasses.dataclass(slots=True)
class WorkloadChanged:
    """An operator changed the task count or importance of a workload."""

    id: str = ''
    count: int = 0
    importance: int = 0


@dataclasses.dataclass(slots=True)
class WorkloadCancelled:
    """An operator cancelled a workload.

    Its waiting tasks end here; placed ones are stopped and end later.
    """

    id: str = ''


@dataclasses.dataclass(slots=True)
class JobAccepted:
    """A job was accepted."""

    unix_ms: int = 0
    job: data.Job = dataclasses.field(default_factory=data.Job)


@dataclasses.dataclass(slots=True)
class OccurrencesDue:
    """Occurrences of a recurring job get workloads, as they are due.

    A version that does not know this kind has made the workloads of all
    occurrences when the job was accepted.

    :param until: number of the first occurrence that does not get any yet
    """

    id: str = ''
    until: int = 0


@dataclasses.dataclass(slots=True)
class OccurrencesDropped:
    """Occurrences of a recurring job have succeeded; they are only counted.

    :param numbers: the numbers of the occurrences
    """

    id: str = ''
    numbers: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class JobCancelled:
    """A job was cancelled, or one of its tasks has failed."""

    id: str = ''


@dataclasses.dataclass(slots=True)
class JobWithdrawn:
    """A job was cancelled before it was submitted, or after it was dropped."""

    id: str = ''


@dataclasses.dataclass(slots=True)
class JobDropped:
    """The record of an ended job was dropped after its retention."""

    id: str = ''


@dataclasses.dataclass(slots=True)
class WorkloadDropped:
    """The record of an ended workload was dropped after its retention."""

    id: str = ''


@dataclasses.dataclass(slots=True)
class TaskPlaced:
    """An attempt of a task was placed on a VM.

    The VM is told only once this is in the log.
    """

    task: str = ''
    attempt: int = 0
    vm: str = ''


@dataclasses.dataclass(slots=True)
class TaskPrepared:
    """An attempt was assigned to a VM whose resources are still in use.

    A later :class:`TaskPlaced` starts it. While the store does not answer, it
    is started without that event once a task on the VM has ended.
    """

    task: str = ''
    attempt: int = 0
    vm: str = ''


@dataclasses.dataclass(slots=True)
class TaskSaved:
    """A running attempt has saved a checkpoint.

    :param checkpoint: where the next attempt starts if the VM is lost
    """

    task: str = ''
    attempt: int = 0
    checkpoint: str = ''


@dataclasses.dataclass(slots=True)
class TaskThrottled:
    """An attempt is to be throttled.

    Its release is not logged, because its message may be lost: the attempt
    counts as possibly throttled until it ends.

    :param percent: the share of its processors that it may use
    """

    task: str = ''
    attempt: int = 0
    percent: int = 0


@dataclasses.dataclass(slots=True)
class TaskEvicting:
    """An attempt is to be stopped and its task requeued."""

    task: str = ''
    attempt: int = 0


@dataclasses.dataclass(slots=True)
class TaskRequeued:
    """An attempt is over but its task is not: the task waits again.

    :param evicted: the attempt was stopped at the request of the owner
    :param checkpoint: where the next attempt starts; '' for the last known
        checkpoint
    :param failed: the attempt failed, which counts against the task
    :param crash: the name of the worker crash that ended it, or ''
    :param ran_ms: the time from its start to the detection of that crash; -1
        if unknown
    :param listed_ms: the time from its start to the last listing before that
        crash; -1 if unknown
    """

    task: str = ''
    attempt: int = 0
    evicted: bool = False
    checkpoint: str = ''
    failed: bool = False
    crash: str = ''
    ran_ms: int = 0
    listed_ms: int = -1


@dataclasses.dataclass(slots=True)
class TaskCleared:
    """A suspected task ran long enough to be held harmless."""

    task: str = ''


@dataclasses.dataclass(slots=True)
class TaskEnded:
    """A task has ended.

    :param state: one of ``data.ENDED_STATES``
    :param crasher: it was given up because it crashes the workers that run it
    """

    task: str = ''
    attempt: int = 0
    state: str = ''
    result: bytes = b''
    crasher: bool = False


@dataclasses.dataclass(slots=True)
class RosterChanged:
    """A roster is in force from its effective time."""

    roster: data.Roster = dataclasses.field(default_factory=data.Roster)


@dataclasses.dataclass(slots=True)
class DecisionMade:
    """A decision was recorded, without an effect on the state of tasks."""

    decision: Decision = dataclasses.field(default_factory=Decision)


KINDS = {
    'owner': OwnerChanged,
    'member+': MemberAdded,
    'member-': MemberRemoved,
    'vote': VoteGranted,
    'accept': WorkloadAccepted,
    'change': WorkloadChanged,
    'cancel': WorkloadCancelled,
    'drop': WorkloadDropped,
    'job': JobAccepted,
    'job-due': OccurrencesDue,
    'job-done': OccurrencesDropped,
    'job-cancel': JobCancelled,
    'job-withdraw': JobWithdrawn,
    'job-drop': JobDropped,
    'place': TaskPlaced,
    'prepare': TaskPrepared,
    'saved': TaskSaved,
    'throttled': TaskThrottled,
    'evicting': TaskEvicting,
    'requeue': TaskRequeued,
    'cleared': TaskCleared,
    'end': TaskEnded,
    'roster': RosterChanged,
    'decision': DecisionMade,
}
NAMES = {cls: name for name, cls in KINDS.items()}


def write_events(events):
    """Return events as lists of plain values, for msgpack."""
    return [[NAMES[type(event)], codec.to_map(event)] for event in events]


def read_events(rows):
    """Return the events of rows, without those of unknown kinds.

    :raises ValueError: a row is not a kind with its fields
    """
    try:
        return [
            codec.from_map(KINDS[kind], fields)
            for kind, fields in rows
            if kind in KINDS
        ]
    except TypeError as exc:
        raise ValueError(
            f'a row is not a kind with its fields: {exc}'
        ) from exc

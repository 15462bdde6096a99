# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a shard's log says: one class for each kind of event.

An event carries all that :mod:`portwharf.scheduler.state` needs to apply
it, so that any process that reads the log comes to the same state. Kinds
and fields that a reader does not know are skipped; an event whose meaning
changes gets a new kind.
"""

import dataclasses

from portwharf.core import codec
from portwharf.core import data


@dataclasses.dataclass(slots=True)
class Count:
    """A number under a name, as in workers refused by a reason."""

    name: str = ''
    number: int = 0


@dataclasses.dataclass(slots=True)
class Part:
    """One addend of a score."""

    name: str = ''
    value: float = 0.0


@dataclasses.dataclass(slots=True)
class Decision:
    """One choice of the scheduler, kept for ``explain``.

    Fields as in the schema's ``Decision``.
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
    """A process has become the shard's owner.

    :param members: the VMs whose majority confirms owners; given by the
        first entry of a log only
    """

    epoch: int = 0
    owner: str = ''
    members: list[data.Vm] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class MemberAdded:
    """A VM joined the shard, or came back with another address."""

    vm: data.Vm = dataclasses.field(default_factory=data.Vm)


@dataclasses.dataclass(slots=True)
class MemberRemoved:
    """A VM left the shard for good."""

    vm: str = ''


@dataclasses.dataclass(slots=True)
class WorkloadAccepted:
    """An operator's workload is ours to run from now on."""

    id: str = ''
    key: str = ''
    unix_ms: int = 0
    workload: data.Workload = dataclasses.field(default_factory=data.Workload)


@dataclasses.dataclass(slots=True)
class WorkloadChanged:
    """An operator changed how many tasks run and how much they matter."""

    id: str = ''
    count: int = 0
    importance: int = 0


@dataclasses.dataclass(slots=True)
class WorkloadCancelled:
    """An operator wants no more of a workload.

    Its waiting tasks end here; placed ones are stopped and end later.
    """

    id: str = ''


@dataclasses.dataclass(slots=True)
class JobAccepted:
    """A job is ours to run from now on."""

    unix_ms: int = 0
    job: data.Job = dataclasses.field(default_factory=data.Job)


@dataclasses.dataclass(slots=True)
class JobCancelled:
    """Nobody wants a job any more, or one of its tasks has failed."""

    id: str = ''


@dataclasses.dataclass(slots=True)
class JobDropped:
    """An ended job is too old to be kept."""

    id: str = ''


@dataclasses.dataclass(slots=True)
class WorkloadDropped:
    """An ended workload is too old to be kept."""

    id: str = ''


@dataclasses.dataclass(slots=True)
class TaskPlaced:
    """An attempt of a task belongs to a VM, which is told after this."""

    task: str = ''
    attempt: int = 0
    vm: str = ''


@dataclasses.dataclass(slots=True)
class TaskPrepared:
    """An attempt belongs to a VM that has no room for it yet.

    It is begun by a later :class:`TaskPlaced`; or, while the store does
    not answer, without one, when a task on that VM has made room.
    """

    task: str = ''
    attempt: int = 0
    vm: str = ''


@dataclasses.dataclass(slots=True)
class TaskSaved:
    """A running attempt has saved its work.

    :param checkpoint: where the next attempt starts, should this one be
        lost with its VM
    """

    task: str = ''
    attempt: int = 0
    checkpoint: str = ''


@dataclasses.dataclass(slots=True)
class TaskEvicting:
    """An attempt is to be stopped and its task to be queued again."""

    task: str = ''
    attempt: int = 0


@dataclasses.dataclass(slots=True)
class TaskRequeued:
    """An attempt is over without an ending: the task waits again.

    :param evicted: it was stopped on our request
    :param checkpoint: where the next attempt starts; '' for the last one
        that was known
    :param failed: it ended by a failure, which counts against the task
    :param crash: which crash of a worker ended it, or ''
    :param ran_ms: how long after its start that was, in ms; -1 if it is not
        known
    """

    task: str = ''
    attempt: int = 0
    evicted: bool = False
    checkpoint: str = ''
    failed: bool = False
    crash: str = ''
    ran_ms: int = 0


@dataclasses.dataclass(slots=True)
class TaskCleared:
    """A task under suspicion has kept at work: it crashes no worker."""

    task: str = ''


@dataclasses.dataclass(slots=True)
class TaskEnded:
    """A task is over.

    :param state: one of ``data.ENDED_STATES``
    :param crasher: it is given up, as it crashes the workers that start it
    """

    task: str = ''
    attempt: int = 0
    state: str = ''
    result: bytes = b''
    crasher: bool = False


@dataclasses.dataclass(slots=True)
class RosterChanged:
    """A roster is in force from its effective time on."""

    roster: data.Roster = dataclasses.field(default_factory=data.Roster)


@dataclasses.dataclass(slots=True)
class DecisionMade:
    """A choice worth remembering that changes nothing by itself."""

    decision: Decision = dataclasses.field(default_factory=Decision)


KINDS = {
    'owner': OwnerChanged,
    'member+': MemberAdded,
    'member-': MemberRemoved,
    'accept': WorkloadAccepted,
    'change': WorkloadChanged,
    'cancel': WorkloadCancelled,
    'drop': WorkloadDropped,
    'job': JobAccepted,
    'job-cancel': JobCancelled,
    'job-drop': JobDropped,
    'place': TaskPlaced,
    'prepare': TaskPrepared,
    'saved': TaskSaved,
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

    :raises ValueError: the rows are not events
    """
    try:
        return [
            codec.from_map(KINDS[kind], fields)
            for kind, fields in rows
            if kind in KINDS
        ]
    except TypeError as exc:
        raise ValueError(f'not an event: {exc}') from exc

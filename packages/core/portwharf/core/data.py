# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The few data types that every package uses.

They hold values and do next to nothing. Types that travel between
processes or into the store live here or beside the module that owns them,
and all are turned into plain maps by :mod:`portwharf.core.codec`, which
skips fields that it does not know, so that versions can mix.
"""

import dataclasses
import enum


class Kind(enum.IntEnum):
    """How long a workload's tasks live; numbers as in the schema."""

    SERVICE = 1
    BATCH = 2
    STANDING = 3


class TaskState(enum.StrEnum):
    """Where a task stands, by the shard log."""

    WAITING = 'waiting'
    # Belongs to a VM that has no room for it yet.
    PREPARED = 'prepared'
    PLACED = 'placed'
    EVICTING = 'evicting'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


ENDED_STATES = frozenset(
    (TaskState.SUCCEEDED, TaskState.FAILED, TaskState.CANCELLED)
)
HELD_STATES = frozenset((TaskState.PLACED, TaskState.EVICTING))


class RunState(enum.StrEnum):
    """What has become of one attempt, by the worker that runs it."""

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    # Stopped on request; ``checkpoint`` tells where to resume.
    CHECKPOINTED = 'checkpointed'
    # The worker or its side would not start it: it has not run.
    REFUSED = 'refused'
    # Stopped on request without a checkpoint, or never heard of.
    GONE = 'gone'


class Outcome(enum.IntEnum):
    """What became of a caller's request; numbers as in the schema."""

    ANSWERED = 1
    NOT_RUN = 2
    FAILED = 3
    UNKNOWN = 4


class VmState(enum.StrEnum):
    """What the platform's VM list says of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Role(enum.StrEnum):
    """What a VM is for."""

    ENTRY = 'entry'
    ENDPOINT = 'endpoint'


@dataclasses.dataclass(frozen=True, slots=True)
class LifeId:
    """Which life of a worker: one start of its process.

    A worker may begin again under the id that it had, holding and knowing
    nothing of before. Whatever one life counts or knows is its own, so that
    nothing is kept by ``instance`` alone. Which of two lives is the later
    one cannot be told from their births: the time of day may jump.

    :param instance: the id that it is addressed by; '' if it is not known
    :param born_ms: when it began, in Unix ms; 0 if it does not say
    """

    instance: str = ''
    born_ms: int = 0

    @property
    def name(self):
        """The life in one word, for logs; '' if it is not known."""
        return f'{self.instance}@{self.born_ms}' if self.instance else ''


@dataclasses.dataclass(slots=True)
class Resources:
    """An amount of what a VM can hold.

    Processors in thousandths, memory in MB (2^20 bytes).
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, other):
        """Return the sum of this amount and another."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def subtract(self, other):
        """Return what is left of this amount after taking another."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def cover(self, other):
        """Return the larger of this amount and another, on each axis."""
        return Resources(
            max(self.cpu_milli, other.cpu_milli),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fits(self, room):
        """Tell whether this amount fits into ``room`` on every axis."""
        return (
            self.cpu_milli <= room.cpu_milli
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


@dataclasses.dataclass(slots=True)
class Workload:
    """What an operator declared: a service, batch job or standing task.

    Fields and units as in the schema's ``Workload``; a step of a job has
    these besides:

    :param job: the id of the job that it is a step of, or ''
    :param after: ids of the steps whose tasks must all have succeeded
    :param pool: the pool of workers that may run it, '' for any
    :param label: what a worker must be labelled with, or ''
    :param data_rack: the rack that its data are in, or ''
    :param most_per_vm: tasks of it that one VM may hold, 0 for any number
    :param gang: its tasks work only all together
    :param same_rack: its tasks work best within one rack
    :param image: what its tasks run; tasks of one image behave alike
    :param target_ms: what the tail of its tasks' answers has to stay under
    :param fills: its tasks use the processors that others leave unused
    :param most_away: tasks that we may have away at a time, 0 for any
    :param run_ms: a rough estimate of how long one task runs
    :param max_failures: attempts that may fail before a task has failed,
        0 for the usual number
    :param ticket_ms: how long a ticket of the policy that governs its
        queue is valid; 0 if there is no policy
    """

    name: str = ''
    team: str = ''
    kind: int = Kind.BATCH
    resources: Resources = dataclasses.field(default_factory=Resources)
    count: int = 1
    importance: int = 0
    run_seconds: int = 0
    deadline_seconds: int = 0
    checkpointable: bool = False
    overlap_allowed: bool = False
    urgent: bool = False
    program: str = ''
    argument: bytes = b''
    # What follows is used by steps of jobs; see :class:`Job`.
    job: str = ''
    after: list[str] = dataclasses.field(default_factory=list)
    pool: str = ''
    label: str = ''
    data_rack: str = ''
    most_per_vm: int = 0
    gang: bool = False
    same_rack: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    most_away: int = 0
    run_ms: int = 0
    max_failures: int = 0
    ticket_ms: int = 0

    @property
    def reserved(self):
        """What one task reserves on its VM.

        A task that fills takes the processors that others leave unused,
        so that it reserves none.
        """
        if not self.fills:
            return self.resources
        size = self.resources
        return Resources(0, size.memory_mb, size.accelerators)

    @property
    def key(self):
        """The key that makes a second submission the same workload."""
        return f'{self.team}/{self.name}'

    @property
    def exclusive(self):
        """Whether a task of it must never run in two places at once."""
        return self.kind != Kind.SERVICE and not self.overlap_allowed


@dataclasses.dataclass(slots=True)
class Job:
    """A graph of steps that is accepted, cancelled and shown as one.

    :param id: chosen by who submits it; a second submission is the same
    :param queue: the queue that it came by
    :param rank: the rank of its queue; 0 goes first
    :param argument: what its tasks are given
    :param steps: a Workload for each, with ``after`` naming their numbers
    :param objective_ms: when it should have ended, from its acceptance
    :param times: how often the steps are run; 0 for once, at once
    :param first_ms: wall time at which the first time is due
    :param interval_ms: between two times
    :param stretch: the objective is this many times its longest chain of
        work; 0 if only ``objective_ms``, by its estimates, is known
    :param allowance_ms: and so much more
    """

    id: str = ''
    queue: str = ''
    rank: int = 0
    argument: bytes = b''
    steps: list[Workload] = dataclasses.field(default_factory=list)
    objective_ms: int = 0
    times: int = 0
    first_ms: int = 0
    interval_ms: int = 0
    stretch: float = 0.0
    allowance_ms: int = 0


class JobState(enum.StrEnum):
    """Where a job stands."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


ENDED_JOB_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


@dataclasses.dataclass(slots=True)
class Vm:
    """One VM as the platform's list or the settings describe it.

    :param instance: in the register, differs for each start of the process
    """

    name: str = ''
    address: str = ''
    port: int = 0
    availability_zone: str = ''
    rack: str = ''
    role: str = Role.ENDPOINT
    state: str = VmState.LIVE
    shard: int = 0
    instance: str = ''


@dataclasses.dataclass(slots=True)
class ServiceRoster:
    """The VMs that serve a service ("team/name"), in order."""

    service: str = ''
    members: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Roster:
    """Which VMs serve which services, as all agree.

    :param effective_ms: wall time since which it is in force, 0 for not yet
    """

    seq: int = 0
    effective_ms: int = 0
    services: list[ServiceRoster] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Problem:
    """One thing that is wrong, and what to do about it.

    :param code: a reason code, as in ``no-worker-fits``
    :param field: the field at fault, dotted, or ''
    :param value: the value at fault, as text
    :param text: what is wrong
    :param remedy: what the operator or caller can do
    """

    code: str = ''
    field: str = ''
    value: str = ''
    text: str = ''
    remedy: str = ''

    def describe(self):
        """Return the problem as one line for people."""
        where = f'{self.field}: ' if self.field else ''
        value = f' (got {self.value})' if self.value else ''
        remedy = f'; {self.remedy}' if self.remedy else ''
        return f'{where}{self.text}{value}{remedy}'

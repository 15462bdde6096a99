# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Data types that all packages share.

Types that are sent between processes or stored are defined here or in the
module that owns them. :mod:`portwharf.core.codec` serializes them by field
name and ignores unknown fields, so that versions can be mixed.
"""

import dataclasses
import enum


class Kind(enum.IntEnum):
    """How long a workload's tasks run; numbers as in the schema."""

    SERVICE = 1
    BATCH = 2
    STANDING = 3


class TaskState(enum.StrEnum):
    """The state of a task in the shard log."""

    WAITING = 'waiting'
    # Assigned to a VM that does not have the resources for it yet.
    PREPARED = 'prepared'
    PLACED = 'placed'
    EVICTING = 'evicting'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


ENDED_STATES = frozenset(
    (TaskState.SUCCEEDED, TaskState.FAILED, TaskState.CANCELLED)
)
RESERVING_STATES = frozenset((TaskState.PLACED, TaskState.EVICTING))


class RunState(enum.StrEnum):
    """The state of one attempt, as its worker reports it."""

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    # Stopped on request; ``checkpoint`` is where to resume.
    CHECKPOINTED = 'checkpointed'
    # Refused by the worker or its side; it has not run.
    REFUSED = 'refused'
    # Stopped on request without a checkpoint, or not known to the worker.
    GONE = 'gone'


class Outcome(enum.IntEnum):
    """The outcome of a caller's request; numbers as in the schema."""

    ANSWERED = 1
    NOT_RUN = 2
    FAILED = 3
    UNKNOWN = 4


class VmState(enum.StrEnum):
    """The state of a VM in the platform's VM list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Role(enum.StrEnum):
    """What a VM is used for."""

    ENTRY = 'entry'
    ENDPOINT = 'endpoint'


@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationId:
    """Identifies one incarnation of a worker: a single start of its process.

    A worker may restart under the same instance id without any state of
    the previous incarnation. Sequence numbers and attempts belong to one
    incarnation, so nothing may be keyed by ``instance`` alone. Start times
    do not order incarnations, because the wall clock may be set back.

    :param instance: the id that it is addressed by; '' if it is not known
    :param born_ms: when it started, in Unix ms; 0 if it is not reported
    """

    instance: str = ''
    born_ms: int = 0

    @property
    def name(self):
        """The incarnation as text, for logs; '' if it is not known."""
        return f'{self.instance}@{self.born_ms}' if self.instance else ''


@dataclasses.dataclass(slots=True)
class Resources:
    """An amount of compute resources.

    :param cpu_milli: processors, in thousandths
    :param memory_mb: memory, in MB (2^20 bytes)
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
        """Return this amount minus another; values may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def max_with(self, other):
        """Return the maximum of this amount and another in each dimension."""
        return Resources(
            max(self.cpu_milli, other.cpu_milli),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fits(self, available):
        """Return whether this amount fits into ``available``."""
        return (
            self.cpu_milli <= available.cpu_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


@dataclasses.dataclass(slots=True)
class Workload:
    """A declared workload: a service, batch job, standing task or job step.

    Fields and units as in the schema's ``Workload``. Only steps of jobs use
    these:

    :param job: the id of the job that it is a step of, or ''
    :param after: ids of the steps whose tasks must all have succeeded
    :param pool: the pool of workers that may run it, '' for any
    :param label: a label that the worker must have, or ''
    :param data_rack: the rack that stores its data, or ''
    :param most_per_vm: the most tasks of it on one VM, 0 for no limit
    :param gang: its tasks can run only all at the same time
    :param same_rack: its tasks should be placed within one rack
    :param image: the image that its tasks run; tasks of one image are
        expected to behave alike
    :param target_ms: upper bound for the tail latency of its tasks' answers
    :param fills: its tasks use processor time that other tasks leave unused
    :param most_away: the most tasks that may be evicted at a time, 0 for no
        limit
    :param run_ms: a rough estimate of the run time of one task
    :param max_failures: failed attempts after which a task has failed,
        0 for the default
    :param ticket_ms: validity of a ticket of the policy that governs its
        queue; 0 if there is no policy
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
    # The fields below are used by steps of jobs; see :class:`Job`.
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
        """The resources that one task reserves on its VM.

        A workload with ``fills`` set reserves no processors.
        """
        if not self.fills:
            return self.resources
        resources = self.resources
        return Resources(0, resources.memory_mb, resources.accelerators)

    @property
    def key(self):
        """The key by which a repeated submission is recognized."""
        return f'{self.team}/{self.name}'

    @property
    def exclusive(self):
        """Whether each task may run in only one place at a time."""
        return self.kind != Kind.SERVICE and not self.overlap_allowed


@dataclasses.dataclass(slots=True)
class Job:
    """A graph of steps that is accepted, cancelled and reported as a unit.

    :param id: chosen by the submitter; submissions of one id are one job
    :param queue: the queue that it was submitted to
    :param rank: the rank of its queue; 0 has the highest precedence
    :param argument: passed to its tasks
    :param steps: a Workload for each step; ``after`` holds step numbers
    :param objective_ms: completion objective, counted from acceptance
    :param times: number of recurring runs; 0 for a single immediate run
    :param first_ms: wall time at which the first recurring run is due
    :param interval_ms: time between two recurring runs
    :param stretch: factor that is applied to the length of the critical
        path to get the objective; 0 if only ``objective_ms``, which is
        derived from estimates, is known
    :param allowance_ms: added to the objective that ``stretch`` gives
    :param asked_ms: wall time of its first submission; 0 stands for the time
        of its acceptance
    :param caller: address of the client that submitted it, '' if unknown
    :param zone: availability zone of the entry that it came through, or ''
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
    asked_ms: int = 0
    caller: str = ''
    zone: str = ''


class JobState(enum.StrEnum):
    """The state of a job."""

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
    """One VM, from the platform's VM list or from the settings.

    :param instance: unique for each start of the process, in the registry
        only
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
    """The VMs that serve a service ("team/name"), in a fixed order."""

    service: str = ''
    members: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Roster:
    """The agreed assignment of VMs to services.

    :param seq: increases with each change
    :param effective_ms: wall time since which it is in force, 0 for not yet
    """

    seq: int = 0
    effective_ms: int = 0
    services: list[ServiceRoster] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Problem:
    """One validation or request error and its remedy.

    :param code: a reason code, as in ``no-worker-fits``
    :param field: the dotted name of the invalid field, or ''
    :param value: the invalid value as text, or ''
    :param text: what is wrong
    :param remedy: what the operator or caller can do
    """

    code: str = ''
    field: str = ''
    value: str = ''
    text: str = ''
    remedy: str = ''

    def describe(self):
        """Return the problem as one line of readable text."""
        where = f'{self.field}: ' if self.field else ''
        value = f' (got {self.value})' if self.value else ''
        remedy = f'; {self.remedy}' if self.remedy else ''
        return f'{where}{self.text}{value}{remedy}'

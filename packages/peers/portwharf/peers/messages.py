# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The messages between portwharf's own processes.

Each is a plain class; ``KINDS`` gives each a short name on the wire. Times
called ``*_ms`` without more are on the *sender's* monotonic clock and mean
something only to the process that first wrote them: the peer sends them
back unread.
"""

import dataclasses

from portwharf.core import data

# Raised when a message changes its meaning. A peer with another major
# version is refused; new fields and kinds need no new version.
PROTOCOL_VERSION = 1
# The reason of a refusal by a side that holds no valid grant.
REFUSED_GRANT = 'no-valid-grant'
# And by one whose availability zone an operator has closed.
REFUSED_ZONE = 'availability-zone-is-closed'


@dataclasses.dataclass(slots=True)
class Hello:
    """The first message on a connection, from both ends.

    :param role: ``owner``, ``entry`` or ``side``
    :param name: the VM's name
    :param instance: differs for each start of the process
    :param epoch: the epoch of an owner; of a side, the highest it knows
    """

    version: int = PROTOCOL_VERSION
    role: str = ''
    name: str = ''
    instance: str = ''
    shard: int = 0
    epoch: int = 0


@dataclasses.dataclass(slots=True)
class TaskReport:
    """What a side knows of one attempt on its worker."""

    task: str = ''
    attempt: int = 0
    state: str = ''
    checkpoint: str = ''
    result: bytes = b''
    reason: str = ''
    # Processors used on average lately, in thousandths.
    cpu_milli: int = 0
    memory_mb: int = 0
    # The worker itself would not start it, as told from the side.
    at_worker: bool = False
    # Of one that its worker crashed under: which crash of that VM's worker,
    # and how long after its start, in ms; -1 if that is not known.
    crash: str = ''
    ran_ms: int = 0


@dataclasses.dataclass(slots=True)
class ServiceMeasure:
    """How a service did at one side, over the time since the last one.

    :param mean_us: mean time at the runner, in microseconds
    :param load: share of the slots in use on average
    :param age_ms: how long ago, on average, this was
    """

    service: str = ''
    count: int = 0
    mean_us: int = 0
    load: float = 0.0
    age_ms: int = 0


@dataclasses.dataclass(slots=True)
class Press:
    """How much one image that fills slows one that serves.

    :param press: growth of the logarithm of the server's tail by the share
        of the VM's processors that the filling tasks use
    :param deviation: how far off the estimate may be
    """

    serving: str = ''
    filling: str = ''
    press: float = 0.0
    deviation: float = 0.0


@dataclasses.dataclass(slots=True)
class FillChange:
    """By how much the processors that one image uses have changed.

    :param share: of the VM's processors
    """

    image: str = ''
    share: float = 0.0


@dataclasses.dataclass(slots=True)
class PressObserved:
    """What changed beside a serving image, and how its tail answered.

    :param growth: of the logarithm of its tail
    """

    serving: str = ''
    growth: float = 0.0
    differences: list[FillChange] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class PacedTask:
    """An attempt that works at less than its full pace, in percent.

    :param done: how much of its work is done, in percent
    """

    task: str = ''
    attempt: int = 0
    percent: int = 0
    done: int = 0


@dataclasses.dataclass(slots=True)
class SavedTask:
    """What a running attempt has saved last."""

    task: str = ''
    attempt: int = 0
    checkpoint: str = ''


@dataclasses.dataclass(slots=True)
class RunMeasure:
    """How long a task runs in all, working in full, as its side measured."""

    task: str = ''
    run_ms: int = 0


@dataclasses.dataclass(slots=True)
class Headroom:
    """What a serving image on a VM could bear beside what is there now.

    :param room: growth of the logarithm of its tail until the target
    """

    serving: str = ''
    room: float = 0.0


@dataclasses.dataclass(slots=True)
class PressUpdate:
    """From an owner to its sides: what all of them have learnt."""

    presses: list[Press] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """From a side to its owner, at a steady beat.

    :param side_ms: the side's clock, sent back in :class:`Grant`
    :param owner_ms: the owner's clock from the last :class:`Grant`
    :param epoch: the epoch that the side acknowledges by this message; 0
        while a restarted side must not acknowledge any
    :param pool: the pool that the worker belongs to, or ''
    :param labels: what the worker is labelled with
    :param leaves_in_ms: of a draining worker, how long it stays at least
    :param observed: what was observed of pairs since the last beat
    :param rack: the rack that the worker stands in, or ''
    :param life: the id of the worker's life, or ''
    :param known: first on a connection, what owners have told of pairs
    :param saved: what running tasks have saved since they were told of
    :param born_ms: when that life began; an id may come again
    :param measured: of running tasks, how long they run; each once
    """

    side_ms: int = 0
    owner_ms: int = 0
    epoch: int = 0
    capacity: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    draining: bool = False
    config_revision: int = 0
    roster_seq: int = 0
    measures: list[ServiceMeasure] = dataclasses.field(default_factory=list)
    pool: str = ''
    labels: list[str] = dataclasses.field(default_factory=list)
    leaves_in_ms: int = 0
    observed: list[PressObserved] = dataclasses.field(default_factory=list)
    headrooms: list[Headroom] = dataclasses.field(default_factory=list)
    paced: list[PacedTask] = dataclasses.field(default_factory=list)
    rack: str = ''
    life: str = ''
    known: list[Press] = dataclasses.field(default_factory=list)
    saved: list[SavedTask] = dataclasses.field(default_factory=list)
    born_ms: int = 0
    measured: list[RunMeasure] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Grant:
    """From an owner to a side, in answer to each heartbeat.

    :param side_ms: from the heartbeat that is answered
    :param owner_ms: the owner's clock when this was sent
    :param valid: the owner may grant; the side's tasks may go on
    """

    side_ms: int = 0
    owner_ms: int = 0
    epoch: int = 0
    valid: bool = False


@dataclasses.dataclass(slots=True)
class Reports:
    """From a side to its owner: attempts that changed, or all of them.

    :param whole: the list names every attempt that the side knows
    """

    whole: bool = False
    reports: list[TaskReport] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class TaskRef:
    """One attempt of one task."""

    task: str = ''
    attempt: int = 0


@dataclasses.dataclass(slots=True)
class ForgetTasks:
    """From an owner: these endings are in the log, drop them."""

    tasks: list[TaskRef] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class StartTask:
    """From an owner: begin this attempt, which is in the log."""

    epoch: int = 0
    task: str = ''
    attempt: int = 0
    kind: int = data.Kind.BATCH
    workload: str = ''
    exclusive: bool = False
    resources: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    program: str = ''
    argument: bytes = b''
    checkpoint: str = ''
    # Processors that it asks for, in thousandths, if it uses what others
    # leave unused and may be paced for their sake; else 0.
    fill_milli: int = 0
    # What the tail of its answers has to stay under, 0 for nothing.
    target_ms: int = 0
    # What the policy gave for this VM's worker, or ''.
    ticket: str = ''
    # Of one that fills, what is left of its job in processor seconds, and
    # the wall times by which it should end and is worth nothing.
    left: float = 0.0
    due_ms: int = 0
    late_ms: int = 0


@dataclasses.dataclass(slots=True)
class HeldTask:
    """What an attempt is that a side's VM holds by the log.

    Fields as in :class:`StartTask`.
    """

    task: str = ''
    attempt: int = 0
    kind: int = data.Kind.BATCH
    workload: str = ''
    resources: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    program: str = ''
    fill_milli: int = 0
    target_ms: int = 0
    left: float = 0.0
    due_ms: int = 0
    late_ms: int = 0


@dataclasses.dataclass(slots=True)
class HeldTasks:
    """From an owner, first on each connection: all that the VM holds.

    The side may have begun none of it: it forgets with its process, and
    the worker's listing does not say what a task is.
    """

    tasks: list[HeldTask] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class StopTask:
    """From an owner: end this attempt.

    :param checkpoint: save the work first, and report where it is
    """

    epoch: int = 0
    task: str = ''
    attempt: int = 0
    checkpoint: bool = False


@dataclasses.dataclass(slots=True)
class ThrottleTask:
    """From an owner: let this attempt use only part of its processors.

    :param percent: 1 to 100
    """

    epoch: int = 0
    task: str = ''
    attempt: int = 0
    percent: int = 100


@dataclasses.dataclass(slots=True)
class Resignation:
    """From an owner that is stopping: it decides nothing any more.

    :param successor: the VM that should take over at once, or ''
    """

    epoch: int = 0
    successor: str = ''


@dataclasses.dataclass(slots=True)
class RosterUpdate:
    """The rosters of a shard, from its owner to sides and on to entries.

    :param pending: not in force yet; seq 0 if there is none
    :param history: the latest rosters, the one in force last
    """

    pending: data.Roster = dataclasses.field(default_factory=data.Roster)
    history: list[data.Roster] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ConfigUpdate:
    """A configuration and its revision, down from owners and entries."""

    revision: int = 0
    text: str = ''


@dataclasses.dataclass(slots=True)
class ClosedZones:
    """From an owner to its sides: where nothing may begin now.

    :param revision: of the store, at which this was read; of two the later
        one holds, whoever sent it
    """

    revision: int = 0
    zones: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SideState:
    """From a side to an entry: what it serves and whom it follows.

    :param services: the services that may be sent here, as "team/name"
    :param in_flight: requests running and waiting here
    """

    services: list[str] = dataclasses.field(default_factory=list)
    draining: bool = False
    in_flight: int = 0
    slots: int = 0
    availability_zone: str = ''
    shard: int = 0
    owner: str = ''
    epoch: int = 0
    config_revision: int = 0


@dataclasses.dataclass(slots=True)
class Request:
    """From an entry to a side: one caller's request.

    :param left_ms: what is left of the deadline when this is sent
    :param size: bytes of the whole payload; more may follow as chunks
    """

    id: int = 0
    request: str = ''
    service: str = ''
    repeatable: bool = False
    left_ms: int = 0
    # The caller has sent this id before.
    sent_before: bool = False
    # The caller has more than its share under way.
    excess: bool = False
    size: int = 0
    payload: bytes = b''


@dataclasses.dataclass(slots=True)
class Chunk:
    """More of a request's or an answer's payload, in order."""

    id: int = 0
    payload: bytes = b''


@dataclasses.dataclass(slots=True)
class Withdraw:
    """From an entry: its caller no longer waits for this request."""

    id: int = 0


@dataclasses.dataclass(slots=True)
class Answer:
    """From a side: what became of one request.

    :param size: bytes of the whole payload; more may follow as chunks
    :param checksum: xxh64 of the whole payload
    :param in_flight: the side's load, as in :class:`SideState`
    """

    id: int = 0
    request: str = ''
    outcome: int = 0
    reason: str = ''
    retry_after_ms: int = 0
    size: int = 0
    checksum: int = 0
    in_flight: int = 0
    payload: bytes = b''


@dataclasses.dataclass(slots=True)
class Operation:
    """From an entry: an operator's call for a shard's owner.

    :param body: the call's arguments, packed by the ``codec`` module
    """

    id: int = 0
    method: str = ''
    body: bytes = b''


@dataclasses.dataclass(slots=True)
class OperationResult:
    """What became of an operator's call.

    :param status: ``ok``, ``refused``, ``not-owner`` or ``unknown``
    """

    id: int = 0
    status: str = ''
    body: bytes = b''
    problems: list[data.Problem] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class OwnerQuery:
    """Between sides: do you hear the owner of this epoch?"""

    epoch: int = 0


@dataclasses.dataclass(slots=True)
class OwnerAnswer:
    """The answer to :class:`OwnerQuery`.

    :param epoch: the highest epoch that the side knows
    :param hears: it has heard that epoch's owner lately
    :param restarted: it has forgotten, so its epoch proves nothing
    :param unheard: it has heard no owner since its start
    """

    epoch: int = 0
    hears: bool = False
    restarted: bool = False
    unheard: bool = False


KINDS = {
    'hello': Hello,
    'beat': Heartbeat,
    'grant': Grant,
    'presses': PressUpdate,
    'held': HeldTasks,
    'reports': Reports,
    'forget': ForgetTasks,
    'start': StartTask,
    'stop': StopTask,
    'throttle': ThrottleTask,
    'resign': Resignation,
    'roster': RosterUpdate,
    'config': ConfigUpdate,
    'zones': ClosedZones,
    'state': SideState,
    'request': Request,
    'chunk': Chunk,
    'withdraw': Withdraw,
    'answer': Answer,
    'operation': Operation,
    'result': OperationResult,
    'query': OwnerQuery,
    'hears': OwnerAnswer,
}
NAMES = {cls: name for name, cls in KINDS.items()}

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The messages between portwharf's own processes.

``KINDS`` gives the name of each message class on the wire, and a class's
field names are those on the wire. Times called ``*_ms`` that are not described
otherwise are on the sender's monotonic clock. Only the process that first
wrote such a time can use it: the peer sends it back unchanged.
"""

import dataclasses

from portwharf.core import data

# Increased when the meaning of a message changes. A peer with another
# version is refused; new fields and kinds need no new version.
PROTOCOL_VERSION = 1
# The reason when a side refuses because it holds no valid grant.
REFUSED_GRANT = 'no-valid-grant'
# The reason when an operator has closed the side's availability zone.
REFUSED_ZONE = 'availability-zone-is-closed'
# The reason when the worker is not of the pool, or lacks the label, that the
# task requires.
REFUSED_KIND = 'other-pool-or-label'
# The reasons when a side reports an attempt as gone that its worker does not
# list as ended.
UNLISTED_REASONS = frozenset(
    (
        'not-listed-any-more',
        'the-lease-is-over',
        'revoked-before-it-was-known',
        'stopped-before-it-was-known',
        'not-known-here',
        'the-worker-crashed',
    )
)


@dataclasses.dataclass(slots=True)
class Hello:
    """The first message on a connection, sent by both ends.

    :param role: ``owner``, ``entry`` or ``side``
    :param name: the VM's name
    :param instance: unique for each start of the process
    :param epoch: an owner's epoch, or the highest one that a side knows
    """

    version: int = PROTOCOL_VERSION
    role: str = ''
    name: str = ''
    instance: str = ''
    shard: int = 0
    epoch: int = 0


@dataclasses.dataclass(slots=True)
class TaskReport:
    """The state of one attempt on a side's worker."""

    task: str = ''
    attempt: int = 0
    state: str = ''
    checkpoint: str = ''
    result: bytes = b''
    reason: str = ''
    # Processors used on average lately, in thousandths.
    cpu_milli: int = 0
    memory_mb: int = 0
    # The worker itself refused to start the attempt, as the side reports.
    at_worker: bool = False
    # The crash of the VM's worker in which the attempt was lost, or '', and
    # the times from the attempt's start to the detection of the crash and to
    # the last listing before it, in ms, or -1 if that is unknown.
    crash: str = ''
    ran_ms: int = 0
    listed_ms: int = -1


@dataclasses.dataclass(slots=True)
class ServiceMeasure:
    """Load of a service at one side since the previous measure.

    :param mean_us: mean time of a request at the runner, in microseconds
    :param load: mean share of the slots in use
    :param age_ms: mean age of the measured requests
    """

    service: str = ''
    count: int = 0
    mean_us: int = 0
    load: float = 0.0
    age_ms: int = 0


@dataclasses.dataclass(slots=True)
class Press:
    """How much the tasks of one image slow down the server of another.

    :param serving: image of the task with a latency target
    :param filling: image of the tasks that use spare processors
    :param press: increase of the logarithm of the server's tail latency per
        share of the VM's processors that the filling tasks use
    :param deviation: uncertainty of the estimate
    """

    serving: str = ''
    filling: str = ''
    press: float = 0.0
    deviation: float = 0.0


@dataclasses.dataclass(slots=True)
class FillChange:
    """Change of an image's processor usage.

    :param share: change as a share of the VM's processors
    """

    image: str = ''
    share: float = 0.0


@dataclasses.dataclass(slots=True)
class PressObserved:
    """Changes beside a serving image, and their effect on its tail latency.

    :param growth: increase of the logarithm of the tail latency
    """

    serving: str = ''
    growth: float = 0.0
    differences: list[FillChange] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class PacedTask:
    """An attempt that is throttled.

    :param percent: the share of its processors that it may use
    :param done: how much of its work is done, in percent
    """

    task: str = ''
    attempt: int = 0
    percent: int = 0
    done: int = 0


@dataclasses.dataclass(slots=True)
class HungTask:
    """A running attempt whose progress has not changed for some time.

    :param done: how much of its work is done, in percent
    :param worked_ms: time since that changed, scaled to its full CPU share
    """

    task: str = ''
    attempt: int = 0
    done: int = 0
    worked_ms: int = 0


@dataclasses.dataclass(slots=True)
class SavedTask:
    """The latest checkpoint of a running attempt."""

    task: str = ''
    attempt: int = 0
    checkpoint: str = ''


@dataclasses.dataclass(slots=True)
class RunMeasure:
    """A task's total run time at full speed, as its side has measured it."""

    task: str = ''
    run_ms: int = 0


@dataclasses.dataclass(slots=True)
class Headroom:
    """How much more interference a serving image on a VM can bear.

    :param room: possible increase of the logarithm of its tail latency until
        the target is reached
    """

    serving: str = ''
    room: float = 0.0


@dataclasses.dataclass(slots=True)
class PressUpdate:
    """From an owner to its sides: the estimates learnt from all of them."""

    presses: list[Press] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """From a side to its owner, at a regular interval.

    :param side_ms: the side's clock, sent back in :class:`Grant`
    :param owner_ms: the owner's clock from the last :class:`Grant`
    :param epoch: the epoch that the side acknowledges by this message; 0
        while a restarted side must not acknowledge any
    :param pool: the worker's pool, or ''
    :param labels: the worker's labels
    :param leaves_in_ms: minimum time that a draining worker stays
    :param observed: interference observed since the last heartbeat
    :param paced: the attempts that are throttled
    :param rack: the worker's rack, or ''
    :param life: instance id of the worker's current incarnation, or ''
    :param known: only in the first heartbeat on a connection, the
        interference estimates received from owners
    :param saved: new checkpoints of running attempts
    :param born_ms: when that incarnation began, as instance ids may be reused
    :param measured: measured run times of running tasks, each sent once
    :param hung: the attempts that have made no progress for some time
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
    hung: list[HungTask] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Grant:
    """From an owner to a side, in answer to each heartbeat.

    :param side_ms: copied from the heartbeat
    :param owner_ms: the owner's clock when this was sent
    :param valid: the owner may grant, and the side's tasks may go on
    :param members_hash: hash of the shard's members, as the owner knows them
    """

    side_ms: int = 0
    owner_ms: int = 0
    epoch: int = 0
    valid: bool = False
    members_hash: int = 0


@dataclasses.dataclass(slots=True)
class Reports:
    """From a side to its owner: reports on attempts.

    :param whole: all attempts that the side knows are listed, and not only
        the changed ones
    """

    whole: bool = False
    reports: list[TaskReport] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class TaskRef:
    """Identifies one attempt of a task."""

    task: str = ''
    attempt: int = 0


@dataclasses.dataclass(slots=True)
class ForgetTasks:
    """From an owner: drop these ended attempts, which are in the log."""

    tasks: list[TaskRef] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class StartTask:
    """From an owner: start this attempt, which is in the log."""

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
    # Processors that a filling task requests, in thousandths; 0 for other
    # tasks. A filling task uses what others leave unused and may be throttled
    # for them.
    fill_milli: int = 0
    # The target for its tail latency, 0 for none.
    target_ms: int = 0
    # The policy's ticket for this VM's worker, or ''.
    ticket: str = ''
    # Remaining work of a filling task's job, in processor seconds, and the
    # wall-clock times, in ms, by which the job should end and after which its
    # result is worthless.
    left: float = 0.0
    due_ms: int = 0
    late_ms: int = 0
    # The pool and the label that the worker must have, '' for any.
    pool: str = ''
    label: str = ''


@dataclasses.dataclass(slots=True)
class HeldTask:
    """An attempt that a side's VM holds according to the log.

    Fields are as in :class:`StartTask`.
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

    A restarted side has forgotten what its attempts were started with, and
    the worker's listing does not include it.
    """

    tasks: list[HeldTask] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class StepClaim:
    """The claim of a step's filling tasks; fields as in :class:`StartTask`.

    :param workload: the step's id
    """

    workload: str = ''
    left: float = 0.0
    due_ms: int = 0
    late_ms: int = 0


@dataclasses.dataclass(slots=True)
class ClaimUpdate:
    """From an owner: claims of filling tasks on the VM that have changed.

    :param claims: list of :class:`StepClaim`
    """

    claims: list[StepClaim] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class StopTask:
    """From an owner: stop this attempt.

    :param checkpoint: save a checkpoint first, and report it
    """

    epoch: int = 0
    task: str = ''
    attempt: int = 0
    checkpoint: bool = False


@dataclasses.dataclass(slots=True)
class ThrottleTask:
    """From an owner: limit this attempt to part of its processors.

    :param percent: 1 to 100
    """

    epoch: int = 0
    task: str = ''
    attempt: int = 0
    percent: int = 100


@dataclasses.dataclass(slots=True)
class Resignation:
    """From an owner that is stopping and makes no more decisions.

    :param successor: the VM that should take over at once, or ''
    """

    epoch: int = 0
    successor: str = ''


@dataclasses.dataclass(slots=True)
class RosterUpdate:
    """A shard's rosters, from its owner to sides and from them to entries.

    :param pending: the roster that is not in force yet; seq 0 if none
    :param history: the latest rosters, the one in force last
    """

    pending: data.Roster = dataclasses.field(default_factory=data.Roster)
    history: list[data.Roster] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ConfigUpdate:
    """A configuration and its revision, passed on by owners and entries."""

    revision: int = 0
    text: str = ''


@dataclasses.dataclass(slots=True)
class ClosedZones:
    """From an owner to its sides: zones where nothing may be started.

    :param revision: the store's revision when the zones were read; a higher
        one replaces a lower one, whoever sent it
    """

    revision: int = 0
    zones: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SideState:
    """From a side to an entry: its services, load and owner.

    :param services: services whose requests may be sent here, "team/name"
    :param in_flight: number of requests running and queued here
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

    :param left_ms: time left until the deadline when this is sent
    :param size: bytes of the whole payload; more may follow as chunks
    """

    id: int = 0
    request: str = ''
    service: str = ''
    repeatable: bool = False
    left_ms: int = 0
    # The caller has sent this request id before.
    sent_before: bool = False
    # The caller exceeds its share of the requests in flight.
    excess: bool = False
    size: int = 0
    payload: bytes = b''


@dataclasses.dataclass(slots=True)
class Chunk:
    """The next part of the payload of a request or an answer."""

    id: int = 0
    payload: bytes = b''


@dataclasses.dataclass(slots=True)
class Withdraw:
    """From an entry: the caller no longer waits for this request."""

    id: int = 0


@dataclasses.dataclass(slots=True)
class Answer:
    """From a side: the outcome of one request.

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

    :param body: the call's arguments, encoded by the ``codec`` module
    :param left_ms: time for which the caller waits from when this is sent;
        0 if it is unknown, as from an entry of an older version. An older
        side ignores it.
    """

    id: int = 0
    method: str = ''
    body: bytes = b''
    left_ms: int = 0


@dataclasses.dataclass(slots=True)
class OperationResult:
    """The outcome of an operator's call.

    :param status: ``ok``, ``refused``, ``not-owner`` or ``unknown``
    """

    id: int = 0
    status: str = ''
    body: bytes = b''
    problems: list[data.Problem] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class OwnerQuery:
    """Between sides: asks whether the owner of this epoch is heard."""

    epoch: int = 0


@dataclasses.dataclass(slots=True)
class OwnerAnswer:
    """The answer to :class:`OwnerQuery`.

    :param epoch: the highest epoch that the side knows
    :param hears: it has recently heard the owner of the queried epoch
    :param restarted: it has lost its state, so its epoch proves nothing
    :param unheard: it has heard no owner since it started
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
    'claims': ClaimUpdate,
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
KIND_BY_CLASS = {cls: name for name, cls in KINDS.items()}

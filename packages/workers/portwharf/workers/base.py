# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a side process needs of the worker on its VM.

A worker runs tasks under leases: an exclusive task whose lease is not
renewed in time is stopped by the worker itself. It reports usage with a
lag, and it can checkpoint, throttle or stop a task. Starting an attempt
that it has been told of before changes nothing.
"""

import abc
import dataclasses

from portwharf.core import data

# Reasons of a refusal that say nothing against the worker.
REFUSED_ROOM = 'no-room-at-the-worker'
REFUSED_LATE = 'lease-over-at-the-worker'
REFUSED_FENCE = 'newer-side-at-the-worker'
REFUSED_TICKET = 'ticket-not-valid-at-the-worker'
REFUSED_LEAVING = 'the-worker-is-leaving'
REFUSED_UNHEARD = 'not-heard-of-the-worker-yet'
REFUSED_UNREACHED = 'the-worker-is-not-reached'
SOUND_REFUSALS = frozenset(
    (
        REFUSED_ROOM,
        REFUSED_LATE,
        REFUSED_FENCE,
        REFUSED_TICKET,
        REFUSED_LEAVING,
        REFUSED_UNHEARD,
        REFUSED_UNREACHED,
    )
)
# The attempt, or a later one, ended or was stopped there before.
REFUSED_OLD = 'attempt-is-over-at-the-worker'


@dataclasses.dataclass(slots=True)
class Start:
    """What a worker is told to run.

    :param kind: one of ``data.Kind``; the worker lists it again
    :param workload: "team/name"; the worker lists it again
    :param lease_until_ms: when it ends without a renewal, on the worker's
        clock; 0: no lease. If that time is past it is not begun.
    :param ticket: what the policy gave for this worker, or ''
    :param life: of which life the listing was that the lease was reckoned
        by; no other one begins the attempt
    """

    task: str = ''
    attempt: int = 0
    program: str = ''
    argument: bytes = b''
    checkpoint: str = ''
    kind: int = data.Kind.BATCH
    workload: str = ''
    lease_until_ms: int = 0
    resources: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    ticket: str = ''
    life: data.LifeId = data.LifeId()


@dataclasses.dataclass(slots=True)
class Attempt:
    """What a worker knows of an attempt.

    :param state: one of ``data.RunState``
    :param used_cpu_milli: processors used lately, in thousandths
    :param measured_ms: how long ago the usage was measured
    :param percent: how much of its work is done; 100 for a lasting task
        that is at work
    :param tail_ms: of a task with a target, the tail of its answers' times
    """

    task: str = ''
    attempt: int = 0
    state: str = ''
    checkpoint: str = ''
    result: bytes = b''
    reason: str = ''
    kind: int = data.Kind.BATCH
    workload: str = ''
    lease_until_ms: int = 0
    resources: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    used_cpu_milli: int = 0
    used_memory_mb: int = 0
    measured_ms: int = 0
    percent: int = 0
    tail_ms: int = 0


@dataclasses.dataclass(slots=True)
class Listing:
    """All that a worker knows.

    :param now_ms: the worker's clock when it answered
    :param capacity: what the worker can hold
    :param pool: the pool that the worker belongs to, or ''
    :param draining: the worker takes no more starts and will leave
    :param leaves_in_ms: of a draining worker, how long it stays at least
    :param absent: no worker is there, so that nothing runs
    :param life: which life of the worker answered
    :param rack: the rack that it stands in, or ''
    """

    now_ms: int = 0
    capacity: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    pool: str = ''
    labels: list[str] = dataclasses.field(default_factory=list)
    draining: bool = False
    leaves_in_ms: int = 0
    absent: bool = False
    life: data.LifeId = data.LifeId()
    rack: str = ''


class Worker(abc.ABC):
    """The worker of one VM. Each call gives Ok(...) or Err(text)."""

    @abc.abstractmethod
    def read_listing(self):
        """Read what the worker knows.

        :returns: Ok(Listing); one with ``absent`` set when nothing is there
            that could run a task
        """

    @abc.abstractmethod
    def start(self, start):
        """Begin an attempt.

        :returns: Ok(''), or Ok(reason) if it was refused and not run; by
            Err, it may run, now or later
        """

    def recall(self, start):
        """Take what an attempt was started with, maybe by a former side.

        For a worker whose listing does not tell it.
        """
        return None

    def follow(self, on_change):
        """Have a function called when an attempt has ended.

        A worker that cannot tell never calls it; it is polled besides.
        """
        return None

    @abc.abstractmethod
    def stop(self, task, attempt, checkpoint):
        """Ask for an attempt's end; its state tells when it has ended.

        :returns: Ok(None)
        """

    @abc.abstractmethod
    def throttle(self, task, attempt, percent):
        """Let an attempt use only part of its processors.

        :returns: Ok(None)
        """

    @abc.abstractmethod
    def renew(self, until_ms):
        """Renew the leases of all attempts that have one.

        The end of a lease is a time on the worker's clock and not a span,
        so that a renewal which is held up on its way does not last longer
        than it was meant to. An earlier end than before changes nothing.

        :returns: Ok(None)
        """

    @abc.abstractmethod
    def forget(self, task, attempt):
        """Drop an ended attempt from the listing.

        :returns: Ok(None)
        """

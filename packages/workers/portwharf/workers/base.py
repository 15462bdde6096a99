# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Interface of the worker that runs tasks on a VM, used by the side process.

A worker runs exclusive tasks under leases and stops those whose lease is
not renewed in time. It can checkpoint, throttle and stop tasks, and reports
their usage with a delay. Starting an attempt is idempotent.
"""

import abc
import dataclasses

import result

from portwharf.core import data

# Reasons for a refusal. Those in EXPECTED_REFUSALS do not count as a failure
# of the worker.
REFUSED_CAPACITY = 'no-room-at-the-worker'
REFUSED_LEASE_EXPIRED = 'lease-over-at-the-worker'
REFUSED_FENCE = 'newer-side-at-the-worker'
REFUSED_TICKET = 'ticket-not-valid-at-the-worker'
REFUSED_LEAVING = 'the-worker-is-leaving'
REFUSED_NO_HEARTBEAT = 'not-heard-of-the-worker-yet'
REFUSED_UNREACHABLE = 'the-worker-is-not-reached'
EXPECTED_REFUSALS = frozenset(
    (
        REFUSED_CAPACITY,
        REFUSED_LEASE_EXPIRED,
        REFUSED_FENCE,
        REFUSED_TICKET,
        REFUSED_LEAVING,
        REFUSED_NO_HEARTBEAT,
        REFUSED_UNREACHABLE,
    )
)
# This attempt or a later one has already ended or been stopped there.
REFUSED_ATTEMPT_OVER = 'attempt-is-over-at-the-worker'


@dataclasses.dataclass(slots=True)
class Start:
    """A request to start an attempt.

    :param kind: one of ``data.Kind``; repeated in the worker's listing
    :param workload: "team/name"; repeated in the worker's listing
    :param lease_until_ms: the end of the lease on the worker's clock, 0 for
        no lease; the worker refuses the start after that time
    :param ticket: the ticket that the policy issued for this worker, or ''
    :param life: the incarnation of the worker whose clock the lease refers
        to; any other incarnation refuses the start
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
    life: data.IncarnationId = data.IncarnationId()


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt in a worker's listing.

    :param state: one of ``data.RunState``
    :param lease_until_ms: the end of the lease on the worker's clock, or 0
    :param used_cpu_milli: processors used recently, in thousandths
    :param measured_ms: age of the usage measurement
    :param percent: progress; 100 for a long-running task that is at work
    :param tail_ms: tail latency of the answers of a task with a target
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
    """The state of a worker and its attempts.

    :param now_ms: the worker's clock when it answered
    :param capacity: the resources of the worker
    :param pool: the pool that the worker belongs to, or ''
    :param draining: the worker accepts no more starts and will leave
    :param leaves_in_ms: minimum time that a draining worker still stays
    :param absent: there is no worker, so no task is running
    :param life: the incarnation of the worker that answered
    :param rack: the rack of the worker, or ''
    :param is_truncated: there may be ended attempts that are not listed yet
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
    life: data.IncarnationId = data.IncarnationId()
    rack: str = ''
    is_truncated: bool = False


class Worker(abc.ABC):
    """The worker of one VM. Calls return Ok(...) or Err(text)."""

    @abc.abstractmethod
    def read_listing(self):
        """Read the state of the worker and its attempts.

        :returns: Ok(Listing), with ``absent`` set if there is no worker
            that could run a task
        """

    @abc.abstractmethod
    def start(self, start):
        """Start an attempt.

        :param start: a :class:`Start`
        :returns: Ok(''), or Ok(reason) if it was refused and has not run;
            after an Err the attempt may run, now or later
        """

    @abc.abstractmethod
    def revoke_expired_starts(self):
        """Ensure that the worker no longer accepts starts with expired leases.

        Such a start may have been delayed on its way to the worker.

        :returns: Ok(Listing), read afterwards: an attempt with an expired
            lease that it does not list never runs, unless it is truncated
        """

    def abandon_starts(self):
        """Ensure that no unanswered start is carried out after later calls.

        Called when all leases have expired on a worker that does not answer.
        A worker that refuses a start after the end of its lease need not do
        anything.

        :returns: Ok(None)
        """
        return result.Ok(None)

    def restore_start(self, start):
        """Restore the :class:`Start` of an attempt.

        For workers whose listing does not contain it. The attempt may have
        been started by a previous side process.
        """
        return None

    def on_attempt_end(self, on_change):
        """Register a function to be called when an attempt has ended.

        A worker without notifications never calls it. The caller polls the
        listing in any case.
        """
        return None

    @abc.abstractmethod
    def stop(self, task, attempt, checkpoint):
        """Request an attempt to stop; its state shows when it has ended.

        :param checkpoint: whether to save a checkpoint first
        :returns: Ok(None)
        """

    @abc.abstractmethod
    def throttle(self, task, attempt, percent):
        """Limit an attempt to a part of its processors.

        :param percent: the part that it may use
        :returns: Ok(None)
        """

    @abc.abstractmethod
    def renew(self, until_ms):
        """Renew the leases of all attempts that have one.

        The end is a time on the worker's clock rather than a duration, so
        that a delayed renewal does not extend the leases for longer than
        intended. A renewal never shortens a lease.

        :param until_ms: the new end on the worker's clock
        :returns: Ok(None)
        """

    @abc.abstractmethod
    def forget(self, task, attempt):
        """Remove an ended attempt from the listing.

        :returns: Ok(None)
        """

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Identifies tasks that crash the workers that start them.

Every task that had just started on a worker when it crashed becomes a
suspect. A suspect is cleared once it has run for a while, and so is a task
that was past its startup when its worker crashed. A task that crashes its
workers is what their crashes have in common. To tell suspects apart they are
placed on different VMs, and one is given up as soon as nothing else explains
its crashes equally well. Its crashes are then removed from the other
suspects.

Infrastructure failures may explain them as well: racks and zones fail, workers
are restarted one after another, and a task may be placed just before such
failures more than once. So after its second crash a task is held back until
workers have stopped crashing. Then it is started once more as a trial, in a
quiet period and away from other suspects. The verdict rests on the trial: its
crash is conclusive if it came right after the start, no other worker crashed
near it, and nothing else that had just started there may have caused it. A
task of another job that had is ruled out once it has run past its startup, but
not if it was cancelled before. Each further crash costs everything that runs
on a VM, and giving up too early fails a healthy job. So four crashes are
conclusive, and five in any case, because users allow no more. Only the latter
counts for a task that is known to have run on after one of its starts, as what
crashes workers does so at each start, and only if more than one worker crashed
under it. A worker that has crashed
recently, under no task that was given up, may be faulty itself: its crash
proves little, and no trial runs there.

The crashes of each task are part of the shard's state, in the log: they must
outlast the owner, the sides and a power failure of the whole site. This
module only assesses them and changes no state.
"""

import collections
import dataclasses
import enum
import itertools
import math

from portwharf.core import data

# A crash this soon after a task's start was likely caused by the task. The
# value leaves room for the time that a side takes to notice the crash: sides
# were seen to notice one 15 to 130 ms after the start was sent. A loaded side
# takes longer, so a listing that shows the task later decides where there is
# one.
CLOSE_TO_START_MS = 250
# A task that has run for longer did not cause its worker's crash: tasks that
# crash their workers do so at the start.
STARTUP_MS = 3000
# Time after the first report of an attempt as running from which a crash of
# its worker is not taken for its doing: a listing has shown it well after its
# start by then, also on a loaded side.
SETTLED_SECONDS = 1.0
# From this number of crashes on, a task is held back and assessed.
SUSPECT_CRASHES = 2
# A task is given up from this number of crashes on, unless it has survived a
# start or one of another job was under as many of them.
GIVE_UP_CRASHES = 4
MAX_CRASHES = 5
# A quiet period is at least this long, and at least this many times the
# longest of the recent gaps between crashes, so that no trial starts in the
# middle of a slow series of crashes. With a fixed 1 or 2 s alone, trials fell
# into such series, and 1 or 2 healthy jobs in 200 simulated days were given up
# (``make bench-crashes``, kind ``series``).
MIN_QUIET_SECONDS = 1.0
QUIET_GAP_FACTOR = 2.0
RECENT_GAPS = 3
# Crashes further apart than this are not one series.
MAX_SERIES_GAP_SECONDS = 5.0
# Time after a crash in which tasks that were started again at once run past
# their startup, with one second for the placement and the start.
CLEARING_SECONDS = STARTUP_MS / 1000 + 1.0
# Time since a suspect's last crash after which its trial starts even if other
# workers go on crashing. It is shorter for a standing task, which has users of
# its own. The crash of such a trial is not conclusive.
MAX_HOLD_SECONDS = 20.0
MAX_STANDING_HOLD_SECONDS = MAX_SERIES_GAP_SECONDS
# A worker counts as unstable for this long after a crash.
UNSTABLE_SECONDS = 30.0
# Time that crashes are remembered, longer than any of the intervals above.
RETENTION_SECONDS = 120.0


class Verdict(enum.Enum):
    """How a waiting task is treated."""

    # It is placed like any other.
    PLACE = 1
    # It is held back for now.
    HOLD = 2
    # It is placed as a trial, away from other suspects.
    TRY = 3
    GIVE_UP = 4


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """A worker's crash while a task ran there.

    :param name: the crash's name, as made by :func:`make_crash_name`
    :param close: whether it came right after the task's start
    :param survived: whether the task is known to have run on after its start
    """

    name: str = ''
    close: bool = False
    survived: bool = False


class CrashHistory:
    """When workers crashed and what may have caused it, as one owner saw it.

    Unlike the log, it remembers suspects that were cancelled.
    """

    def __init__(self, observed_from):
        """Take the time from which on crashes are reported to it."""
        self._observed_from = observed_from
        self._times = {}
        # By name of a crash: the failure unit of each task that may have
        # caused it, by task id.
        self._causes = collections.defaultdict(dict)

    def record(self, name, now):
        """Record a crash, once, and drop expired ones."""
        self._times.setdefault(name, now)
        expired = [
            one
            for one, at in self._times.items()
            if now - at >= RETENTION_SECONDS
        ]
        self.forget(expired)

    def record_cause(self, name, task, unit):
        """Record that a task may have caused a crash.

        :param task: the task's id
        :param unit: its failure unit
        """
        self._causes[name][task] = unit

    def clear_task(self, task):
        """Record that a task has caused none of the crashes."""
        for causes in self._causes.values():
            causes.pop(task, None)

    def has_other_cause(self, name, unit):
        """Return whether a task of another unit may have caused a crash."""
        causes = self._causes.get(name, {})
        return any(other != unit for other in causes.values())

    def find_time(self, name):
        """Return when a crash was first reported.

        :returns: the start of observation if the crash is not recorded
        """
        return self._times.get(name, self._observed_from)

    def is_quiet(self, since, names=()):
        """Return whether no crash was reported since a time.

        :param names: names of crashes that are ignored
        :returns: False also if observation started later
        """
        if since < self._observed_from:
            return False
        return not any(
            at >= since
            for name, at in self._times.items()
            if name not in names
        )

    def measure_quiet_seconds(self, before=math.inf):
        """Return how long no worker may crash before a trial starts.

        :param before: crashes from this time on are ignored
        """
        known = sorted(at for at in self._times.values() if at < before)
        times = known[-RECENT_GAPS - 1 :]
        gaps = [two - one for one, two in itertools.pairwise(times)]
        series = [gap for gap in gaps if gap < MAX_SERIES_GAP_SECONDS]
        return max(
            MIN_QUIET_SECONDS, QUIET_GAP_FACTOR * max(series, default=0.0)
        )

    def was_worker_stable(self, name):
        """Return whether a crash's worker had not crashed shortly before."""
        vm = _parse_vm(name)
        at = self.find_time(name)
        return not any(
            at - UNSTABLE_SECONDS < other < at
            for one, other in self._times.items()
            if one != name and _parse_vm(one) == vm
        )

    def list_unstable_vms(self, now):
        """Return the names of the VMs whose workers crashed recently."""
        return {
            _parse_vm(name)
            for name, at in self._times.items()
            if now - at < UNSTABLE_SECONDS
        }

    def forget(self, names):
        """Remove crashes that were caused by a task that is given up."""
        for name in names:
            self._times.pop(name, None)
            self._causes.pop(name, None)


def make_crash_name(vm, crash):
    """Return a name for a crash that is unique in the shard.

    :param crash: the crash's name, unique on its VM
    """
    return f'{vm}/{crash}'


def _parse_vm(name):
    """Return the VM that a crash's name contains."""
    return name.partition('/')[0]


def is_in_startup(ran_ms):
    """Return whether a task of this age may have caused a crash.

    :param ran_ms: time since its start, in ms; below 0 if it is not known
    """
    return ran_ms <= STARTUP_MS


def make_crash_record(name, ran_ms, listed_ms):
    """Return the :class:`CrashRecord` of a task that was lost in a crash.

    :param ran_ms: time from its start to the detection of the crash, in ms;
        below 0 if it is not known
    :param listed_ms: time from its start to the last listing before the
        crash, in ms; below 0 if it is not known
    """
    survived = not is_possible_cause(ran_ms, listed_ms)
    close = ran_ms >= 0 and not survived
    return CrashRecord(name, close, survived)


def is_possible_cause(ran_ms, listed_ms):
    """Return whether a task may have caused a crash by its start.

    It may not if it is known to have run on after its start. The detection of
    a crash may take long, so a listing that still shows the task tells more
    about that. The parameters are those of :func:`make_crash_record`.
    """
    known_ms = ran_ms if listed_ms < 0 else listed_ms
    return known_ms <= CLOSE_TO_START_MS


def assess(state, task, times, is_trial, now):
    """Return the :class:`Verdict` on a task.

    Must be called only after every task that the latest crash ended has been
    counted.

    :param state: the shard's state
    :param task: a ``state.TaskRecord``
    :param times: a :class:`CrashHistory`
    :param is_trial: whether its last attempt was a trial
    """
    count = len(task.crashes)
    if task.state != data.TaskState.WAITING or count < SUSPECT_CRASHES:
        return Verdict.PLACE
    unit = find_failure_unit(state, task)
    is_shared = times.has_other_cause(task.crashes[-1].name, unit)
    if (count >= MAX_CRASHES and not _is_worker_at_fault(task)) or (
        count >= GIVE_UP_CRASHES
        and not task.has_survived
        and not is_shared
        and _is_prime_suspect(state, task)
    ):
        return Verdict.GIVE_UP
    since_last = now - times.find_time(task.crashes[-1].name)
    max_hold_seconds = _get_max_hold_seconds(state, task)
    quiet_seconds = min(times.measure_quiet_seconds(), max_hold_seconds)
    if since_last < quiet_seconds:
        return Verdict.HOLD
    if (
        is_trial
        and not task.has_survived
        and _is_conclusive(task, times)
        and _is_prime_suspect(state, task)
    ):
        if not is_shared:
            return Verdict.GIVE_UP
        if since_last < CLEARING_SECONDS:
            return Verdict.HOLD
    if times.is_quiet(now - quiet_seconds) or since_last >= max_hold_seconds:
        return Verdict.TRY
    return Verdict.HOLD


def _is_worker_at_fault(task):
    """Return whether one worker explains all crashes of a task.

    A task that is known to have run on after a start, and may run on few
    workers, comes back to one that keeps crashing.
    """
    return task.has_survived and len(_list_vms(task)) == 1


def _list_vms(task):
    """Return the names of the VMs whose workers crashed under a task."""
    return {_parse_vm(crash.name) for crash in task.crashes}


def _get_max_hold_seconds(state, task):
    """Return how long a task is held back at most after its last crash."""
    workload = state.find_workload(task.id).workload
    if workload.kind == data.Kind.STANDING:
        return MAX_STANDING_HOLD_SECONDS
    return MAX_HOLD_SECONDS


def _is_conclusive(task, times):
    """Return whether no failure of VMs explains the crash in a trial."""
    crash = task.crashes[-1]
    if not crash.close or not times.was_worker_stable(crash.name):
        return False
    names = {one.name for one in task.crashes}
    crashed_at = times.find_time(crash.name)
    # A trial that could not wait for a quiet period may be part of a series.
    quiet_seconds = times.measure_quiet_seconds(crashed_at)
    return times.is_quiet(crashed_at - quiet_seconds, names)


def _is_prime_suspect(state, task):
    """Return whether no task of another job is as suspicious.

    Only tasks that ran on the worker that crashed last are compared.
    """
    job = find_failure_unit(state, task)
    last = task.crashes[-1].name
    return not any(
        find_failure_unit(state, other) != job
        and _measure_suspicion(other) >= _measure_suspicion(task)
        for other in state.suspects.values()
        if any(one.name == last for one in other.crashes)
    )


def find_failure_unit(state, task):
    """Return the id of the job or workload that fails with a task."""
    return get_failure_unit(state.find_workload(task.id))


def get_failure_unit(record):
    """Return the id of what fails together: a job, or a lone workload.

    :param record: a ``state.WorkloadRecord``
    """
    return record.workload.job or record.id


def _measure_suspicion(task):
    """Return a sort key: the more suspicious a task, the greater."""
    return len(task.crashes), sum(one.close for one in task.crashes)

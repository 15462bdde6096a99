# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Quarantines workers that fail the tasks of several workloads.

A worker is quarantined when attempts of several different workloads failed on
it in a row, with no success between them, which a single bad job cannot cause.
It then gets no tasks for a while, after that one task as a probe, and a longer
quarantine if the probe fails. A success clears it, and so does a standing task
that stays at work, as it never succeeds. Several bad jobs can cause it
everywhere, so that only half of the workers are held to it. A standing task
that fits nowhere else may be the probe of a worker before its quarantine ends.

Apart from that, a workload avoids a worker that it failed on for some seconds,
so that its retries go elsewhere.
"""

import collections
import dataclasses

# Number of failures in a row that quarantine a worker, and the number of
# workloads that they have to belong to.
QUARANTINE_FAILURES = 4
QUARANTINE_WORKLOADS = 2
# Failures of one job, or of one workload, that count against a worker: they
# may all be the job's own fault.
MAX_COUNTED_PER_JOB = 2
# Length of a first quarantine, which each failed probe doubles, and of the
# longest one.
MIN_QUARANTINE_SECONDS = 5.0
MAX_QUARANTINE_SECONDS = 60.0
# Time after which a probe without a result is followed by another one, as a
# task may run for any time.
PROBE_TIMEOUT_SECONDS = 4.0
# Time at work after which a standing task that is a probe clears the worker,
# longer than such tasks take to start.
MIN_WORK_SECONDS = 1.5
# First and longest time that a workload avoids a worker that it failed on.
# Each later failure there doubles the time, except a failure while the worker
# is already avoided. After a long time without failures it starts anew.
# Otherwise failures of one moment, or of long ago, would keep a standing task
# from most workers.
MIN_AVOID_SECONDS = 2.0
MAX_AVOID_SECONDS = 120.0


@dataclasses.dataclass(slots=True)
class _WorkerRecord:
    """Recent failures and quarantine of one worker.

    :param failures: failures in a row, by job or workload
    :param hung: tasks that hung there since, by job or workload
    :param hangs: it was quarantined because tasks hung there
    :param until: end of its quarantine, 0 if there is none
    :param seconds: length of its last quarantine
    :param probed: when the last probe was placed there
    :param probe: (task, attempt) of the last probe until it ends, or None
    :param works_since: when that one was reported as running, or None
    """

    failures: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    hung: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    hangs: bool = False
    until: float = 0.0
    seconds: float = 0.0
    probed: float = float('-inf')
    probe: tuple = None
    works_since: float = None


@dataclasses.dataclass(slots=True)
class _Avoidance:
    """How long a workload avoids a worker.

    :param until: when it ends
    :param seconds: its length
    """

    until: float = 0.0
    seconds: float = 0.0


class WorkerHealthTracker:
    """Tracks failures and quarantines of a shard's workers.

    ``now`` is the owner's monotonic clock, in seconds.
    """

    def __init__(self):
        self._records = {}
        self._avoided = {}

    def record_success(self, vm):
        """Record a successful attempt, which clears the worker."""
        self._records.pop(vm, None)

    def list_avoided(self, workload, now):
        """Return the set of workers that a workload avoids now."""
        avoided = self._avoided.get(workload, {})
        return {vm for vm, entry in avoided.items() if now < entry.until}

    def forget(self, live):
        """Drop which workers are avoided by all workloads but the live ones.

        :param live: ids of the workloads that may still run
        """
        self._avoided = {n: a for n, a in self._avoided.items() if n in live}

    def record_failure(self, vm, workload, now, job=''):
        """Record a failed attempt.

        :param job: the job that the workload is a step of, or ''
        :returns: whether this failure quarantines the worker
        """
        self._avoid(vm, workload, now)
        record = self._records.setdefault(vm, _WorkerRecord())
        record.failures[job or workload] += 1
        if record.until:
            return self._quarantine(record, now)
        failures = sum(
            min(MAX_COUNTED_PER_JOB, n) for n in record.failures.values()
        )
        enough = failures >= QUARANTINE_FAILURES
        if enough and len(record.failures) >= QUARANTINE_WORKLOADS:
            return self._quarantine(record, now)
        return False

    def record_hung(self, vm, task, unit, now):
        """Record that a task made no progress on a worker.

        Only several tasks of several jobs count against the worker, whether
        it was quarantined before or not.

        :param unit: the job or workload of the task
        :returns: whether this quarantines the worker
        """
        record = self._records.setdefault(vm, _WorkerRecord())
        record.hung[unit].add(task)
        counted = sum(
            min(MAX_COUNTED_PER_JOB, len(one)) for one in record.hung.values()
        )
        if (
            counted < QUARANTINE_FAILURES
            or len(record.hung) < QUARANTINE_WORKLOADS
        ):
            return False
        record.hung.clear()
        record.hangs = True
        return self._quarantine(record, now)

    def record_placement(self, vm, attempt, now):
        """Record that a task was placed on a worker.

        :param attempt: (task id, attempt number)
        """
        record = self._records.get(vm)
        if record is not None and record.until:
            record.probed = now
            record.probe = attempt
            record.works_since = None

    def record_running(self, vm, attempt, now):
        """Record that an attempt of a standing task was reported as running.

        :param attempt: (task id, attempt number)
        """
        record = self._records.get(vm)
        if record is not None and record.probe == attempt:
            record.works_since = record.works_since or now

    def record_end(self, vm, attempt):
        """Record that an attempt has ended, in whatever way.

        :param attempt: (task id, attempt number)
        """
        record = self._records.get(vm)
        if record is not None and record.probe == attempt:
            record.probe = record.works_since = None

    def clear_working(self, now):
        """Clear the workers whose probes have stayed at work.

        Where tasks hang, a worker lists them as running all the same.
        """
        for vm, record in list(self._records.items()):
            since = None if record.hangs else record.works_since
            if since is not None and now - since >= MIN_WORK_SECONDS:
                self.record_success(vm)

    def is_probing(self, vm, now):
        """Return whether a probe of a worker is under way."""
        record = self._records.get(vm)
        return (
            record is not None and now - record.probed < PROBE_TIMEOUT_SECONDS
        )

    def is_quarantined(self, vm, now):
        """Return whether a worker gets no tasks now."""
        record = self._records.get(vm)
        return record is not None and now < record.until

    def awaits_probe(self, vm, now):
        """Return whether a worker is past its quarantine but not cleared."""
        record = self._records.get(vm)
        return record is not None and 0 < record.until <= now

    def list_restricted(self, vms):
        """Return the workers that are quarantined or await a probe.

        They are at most half of all: if more fail what they are given, the
        jobs are more likely at fault. Those with the longest quarantines stay.

        :param vms: the names of all workers
        """
        found = [
            vm for vm in vms if vm in self._records and self._records[vm].until
        ]
        found.sort(key=lambda vm: -self._records[vm].seconds)
        return set(found[: len(vms) // 2])

    def record_refusal(self, vm, workload, now):
        """Record that a side refused to start an attempt, for a good reason.

        The workload avoids the worker; this is no failure of the worker.
        """
        self._avoid(vm, workload, now)

    def _avoid(self, vm, workload, now):
        avoided = self._avoided.setdefault(workload, {})
        entry = avoided.setdefault(vm, _Avoidance())
        if now < entry.until:
            return
        if now - entry.until >= MAX_AVOID_SECONDS:
            entry.seconds = 0.0
        entry.seconds = min(
            MAX_AVOID_SECONDS, max(MIN_AVOID_SECONDS, 2 * entry.seconds)
        )
        entry.until = now + entry.seconds

    def _quarantine(self, record, now):
        if now < record.until:
            return False
        record.seconds = min(
            MAX_QUARANTINE_SECONDS,
            max(MIN_QUARANTINE_SECONDS, 2 * record.seconds),
        )
        record.until = now + record.seconds
        return True

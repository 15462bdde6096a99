# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Workers that fail everything they are given, told from jobs that fail.

A worker is under suspicion when attempts of several different workloads
ended badly on it in a row, with no success between: one bad job cannot
bring that about alone. It then gets nothing for a while, after that one
task as a probe, and a longer while if that fails too. A success clears it.
Apart from that a workload keeps away for some seconds from a worker that it
failed on, so that a retry goes elsewhere and does not run in circles.
"""

import collections
import dataclasses

# Bad endings in a row, and of how many workloads, that tell.
SUSPICIOUS_FAILURES = 4
SUSPICIOUS_WORKLOADS = 2
# Failures of one workload, or of one job, that count against a worker: all
# its tasks may fail by their own fault.
MOST_OF_ONE = 2
FIRST_SECONDS = 5.0
LONGEST_SECONDS = 60.0
# How long a probe may take before another one is made: what it holds
# besides may last for ever.
PROBE_SECONDS = 4.0
# How long a workload stays away from a worker that it failed on, doubled
# each time that it fails there again after that. What lasts must not be kept
# from most workers by failures of one moment, or of long ago.
AVOID_SECONDS = 2.0
LONGEST_AVOID_SECONDS = 120.0


@dataclasses.dataclass(slots=True)
class _Record:
    """What one worker has done lately.

    :param failures: bad endings in a row, by workload or job
    :param until: end of its quarantine, 0 if there is none
    :param probed: when the last probe was placed there
    """

    failures: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    until: float = 0.0
    seconds: float = 0.0
    probed: float = float('-inf')


@dataclasses.dataclass(slots=True)
class _Avoided:
    """Until when a workload keeps away from a worker."""

    until: float = 0.0
    seconds: float = 0.0


class Health:
    """The workers of a shard, by how attempts end on them."""

    def __init__(self):
        self._records = {}
        self._avoided = {}

    def note_success(self, vm):
        """Count an attempt that ended well, which clears the worker."""
        self._records.pop(vm, None)

    def list_avoided(self, workload, now):
        """Return the workers that a workload keeps away from now."""
        avoided = self._avoided.get(workload, {})
        return {vm for vm, one in avoided.items() if now < one.until}

    def drop_workload(self, workload):
        """Forget a workload that has ended."""
        self._avoided.pop(workload, None)

    def note_failure(self, vm, workload, now, job=''):
        """Count an attempt that ended badly.

        :param job: the job that the workload is a step of, or ''
        :returns: whether the worker is quarantined by this
        """
        self._avoid(vm, workload, now)
        record = self._records.setdefault(vm, _Record())
        record.failures[job or workload] += 1
        if record.until:
            return self._quarantine(record, now)
        counted = sum(min(MOST_OF_ONE, n) for n in record.failures.values())
        enough = counted >= SUSPICIOUS_FAILURES
        if enough and len(record.failures) >= SUSPICIOUS_WORKLOADS:
            return self._quarantine(record, now)
        return False

    def note_placed(self, vm, now):
        """Note that something was placed on a worker."""
        if self.is_probed(vm, now):
            self._records[vm].probed = now

    def is_probing(self, vm, now):
        """Tell whether a probe of a worker is under way."""
        if not self.is_probed(vm, now):
            return False
        return now - self._records[vm].probed < PROBE_SECONDS

    def is_quarantined(self, vm, now):
        """Tell whether a worker gets nothing now."""
        record = self._records.get(vm)
        return record is not None and now < record.until

    def is_probed(self, vm, now):
        """Tell whether a worker's quarantine is over but not cleared."""
        record = self._records.get(vm)
        return record is not None and 0 < record.until <= now

    def note_refusal(self, vm, workload, now):
        """Count a start that a side would not make, for a good reason."""
        self._avoid(vm, workload, now)

    def _avoid(self, vm, workload, now):
        avoided = self._avoided.setdefault(workload, {})
        one = avoided.setdefault(vm, _Avoided())
        if now < one.until:
            return
        if now - one.until >= LONGEST_AVOID_SECONDS:
            one.seconds = 0.0
        one.seconds = min(
            LONGEST_AVOID_SECONDS, max(AVOID_SECONDS, 2 * one.seconds)
        )
        one.until = now + one.seconds

    def _quarantine(self, record, now):
        if now < record.until:
            return False
        record.seconds = min(
            LONGEST_SECONDS, max(FIRST_SECONDS, 2 * record.seconds)
        )
        record.until = now + record.seconds
        return True

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Builds the reports on attempts that a side sends to its owner."""

import dataclasses

from portwharf.core import data
from portwharf.peers import messages
from portwharf import workers

# Results are stored in the log; larger ones have to be references.
MAX_RESULT_BYTES = 64 * 1024
REASON_RESULT = 'result-is-over-64-KiB'
REASON_CRASHED = 'the-worker-crashed'


def make_attempt(start):
    """Return a started attempt as the worker's next listing will show it."""
    return workers.Attempt(
        start.task,
        start.attempt,
        data.RunState.RUNNING,
        kind=start.kind,
        workload=start.workload,
        lease_until_ms=start.lease_until_ms,
        resources=start.resources,
    )


def make_recall_start(held):
    """Return a ``messages.HeldTask`` as a ``workers.Start`` to restore."""
    return workers.Start(
        held.task,
        held.attempt,
        held.program,
        kind=held.kind,
        workload=held.workload,
        resources=held.resources,
    )


def find_latest(attempts, task):
    """Return the latest listed attempt of a task, or None."""
    known = [a for a in attempts if a.task == task]
    return max(known, key=lambda a: a.attempt, default=None)


def make_report(attempt):
    """Return the ``messages.TaskReport`` of a listed attempt.

    An attempt whose result is too large for the log is reported as failed,
    because the log could not make progress with it.
    """
    if len(attempt.result) > MAX_RESULT_BYTES:
        attempt = dataclasses.replace(
            attempt,
            state=data.RunState.FAILED,
            result=b'',
            reason=REASON_RESULT,
        )
    return messages.TaskReport(
        task=attempt.task,
        attempt=attempt.attempt,
        state=attempt.state,
        checkpoint=attempt.checkpoint,
        result=attempt.result,
        reason=attempt.reason,
        cpu_milli=attempt.used_cpu_milli,
        memory_mb=attempt.used_memory_mb,
    )


def make_gone_report(name, reason, checkpoint, crash):
    """Return the ``messages.TaskReport`` of an attempt that is gone.

    :param name: (task, attempt)
    :param reason: why it is gone, unless its worker crashed
    :param checkpoint: its last checkpoint, or ''
    :param crash: the ``crashes.Crash`` that ended it, or None
    """
    task, attempt = name
    gone = data.RunState.GONE
    report = messages.TaskReport(
        task, attempt, gone, checkpoint, reason=reason
    )
    if crash is not None:
        report.reason = REASON_CRASHED
        report.crash = crash.name
        report.ran_ms = crash.ran_ms
        report.listed_ms = crash.listed_ms
    return report

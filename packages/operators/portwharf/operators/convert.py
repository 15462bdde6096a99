# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Conversion between schema messages and internal data types.

``read_...`` functions convert from messages, ``write_...`` to messages.
"""

from portwharf.core import data
from portwharf.v1 import operators_pb as pb


def read_resources(message):
    """Return a schema message as ``data.Resources``; None is no resources."""
    if message is None:
        return data.Resources()
    return data.Resources(
        message.cpu_milli, message.memory_mb, message.accelerators
    )


def write_resources(resources):
    """Return a ``data.Resources`` as a schema message.

    Negative amounts become 0, as the schema's fields are unsigned.
    """
    return pb.Resources(
        cpu_milli=max(0, resources.cpu_milli),
        memory_mb=max(0, resources.memory_mb),
        accelerators=max(0, resources.accelerators),
    )


def read_workload(message):
    """Return a schema message as a ``data.Workload``."""
    return data.Workload(
        message.name,
        message.team,
        int(message.kind),
        read_resources(message.resources),
        message.count,
        message.importance,
        message.run_seconds,
        message.deadline_seconds,
        message.checkpointable,
        message.overlap_allowed,
        message.urgent,
        message.program,
        bytes(message.argument),
    )


def write_workload(workload):
    """Return a ``data.Workload`` as a schema message."""
    return pb.Workload(
        name=workload.name,
        team=workload.team,
        kind=pb.Kind(workload.kind),
        resources=write_resources(workload.resources),
        count=workload.count,
        importance=workload.importance,
        run_seconds=workload.run_seconds,
        deadline_seconds=workload.deadline_seconds,
        checkpointable=workload.checkpointable,
        overlap_allowed=workload.overlap_allowed,
        urgent=workload.urgent,
        program=workload.program,
        argument=workload.argument,
    )


def write_status(view):
    """Return an ``operations.WorkloadView`` as a schema message."""
    return pb.WorkloadStatus(
        id=view.id,
        workload=write_workload(view.workload),
        waiting=view.waiting,
        running=view.running,
        succeeded=view.succeeded,
        failed=view.failed,
        cancelled=view.cancelled,
        accepted_unix_ms=view.unix_ms,
        unplaceable=view.unplaceable,
    )


def write_task(view):
    """Return an ``operations.TaskView`` as a schema message."""
    return pb.Task(
        id=view.id,
        workload_id=view.workload,
        state=view.state,
        attempt=view.attempt,
        vm=view.vm,
        checkpoint=view.checkpoint,
        result=view.result,
        evictions=view.evictions,
    )


def write_decision(decision):
    """Return an ``events.Decision`` as a schema message."""
    return pb.Decision(
        unix_ms=decision.unix_ms,
        reason=decision.reason,
        subject=decision.subject,
        vm=decision.vm,
        refusals=[
            pb.RefusalCount(reason=count.name, workers=count.number)
            for count in decision.refusals
        ],
        score=[
            pb.ScorePart(name=part.name, value=part.value)
            for part in decision.score
        ],
        detail=decision.detail,
        advice=decision.advice,
    )


def write_vm(report):
    """Return an ``operations.VmReport`` as a schema message."""
    return pb.VmStatus(
        name=report.vm.name,
        availability_zone=report.vm.availability_zone,
        rack=report.vm.rack,
        state=report.state,
        capacity=write_resources(report.capacity),
        reserved=write_resources(report.reserved),
        tasks=report.tasks,
    )


def write_shard(report):
    """Return an ``operations.ShardReport`` as a schema message."""
    return pb.ShardStatus(
        shard=report.shard,
        owner=report.owner,
        epoch=report.epoch,
        log_length=report.log_length,
        waiting=report.waiting,
        running=report.running,
        capacity=[write_capacity(one) for one in report.capacity],
    )


def write_capacity(report):
    """Return an ``operations.CapacityReport`` as a schema message."""
    return pb.CapacityStatus(
        pool=report.pool,
        fills=report.fills,
        rate_milli=report.rate_milli,
        backlog_seconds=report.backlog_seconds,
        is_short=report.is_short,
        refused=report.refused,
        returning=report.returning,
        owed=report.owed,
    )


def write_problem(problem):
    """Return a ``data.Problem`` as a schema message."""
    return pb.ErrorDetail(
        field=problem.field,
        value=problem.value,
        problem=problem.text,
        remedy=problem.remedy,
    )

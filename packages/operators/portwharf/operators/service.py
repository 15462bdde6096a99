# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The schema's ``OperatorService``, implemented on a :class:`Backend`.

The service validates requests, passes them to the backend, and converts
problems to Connect errors with an ``ErrorDetail`` for each problem.
"""

import abc

from connectrpc import code
from connectrpc import errors
import result

from portwharf.core import data
from portwharf.operators import convert
from portwharf.operators import validators
from portwharf.scheduler import operations
from portwharf.v1 import operators_pb as pb

# Connect error codes by the code of a problem; others are INVALID_ARGUMENT.
_CONNECT_CODES = {
    'unknown-id': code.Code.NOT_FOUND,
    'key-in-use': code.Code.ALREADY_EXISTS,
    'conflict': code.Code.ABORTED,
    'quota-below-reserved': code.Code.FAILED_PRECONDITION,
    'not-accepted': code.Code.UNAVAILABLE,
    'no-owner': code.Code.UNAVAILABLE,
    'no-answer': code.Code.DEADLINE_EXCEEDED,
    'outcome-unknown': code.Code.DEADLINE_EXCEEDED,
    'no-worker-can-ever-hold-it': code.Code.FAILED_PRECONDITION,
}


class Backend(abc.ABC):
    """Carries out operators' calls.

    Methods return Ok or Err(list of Problems) unless stated otherwise.
    """

    @abc.abstractmethod
    def submit(self, submission):
        """Accept an ``operations.Submission``; returns Ok(Accepted)."""

    @abc.abstractmethod
    def change(self, change):
        """Apply an ``operations.Change``; returns Ok(Accepted)."""

    @abc.abstractmethod
    def cancel(self, workload_id):
        """Cancel a workload; returns Ok(Cancelled)."""

    @abc.abstractmethod
    def list_workloads(self, query):
        """List workloads by an ``operations.Query``.

        :returns: Ok(list of WorkloadView)
        """

    @abc.abstractmethod
    def list_tasks(self, workload_id):
        """List a workload's tasks; returns Ok(list of TaskView)."""

    @abc.abstractmethod
    def explain(self, subject):
        """Explain decisions on an id or "team/name".

        :returns: Ok(Explanation)
        """

    @abc.abstractmethod
    def read_shards(self):
        """Report on all shards; returns Ok(list of ShardReport)."""

    @abc.abstractmethod
    def read_config(self):
        """Return the accepted ``Configuration``, not wrapped in Ok."""

    @abc.abstractmethod
    def propose_config(self, base_revision, text):
        """Accept a configuration as a whole.

        :param base_revision: the revision that the text was derived from
        :param text: the configuration, in TOML
        :returns: Ok(revision)
        """

    @abc.abstractmethod
    def read_config_status(self):
        """Return a map from process name to revision, not wrapped in Ok."""

    @abc.abstractmethod
    def read_burn(self):
        """Return a list of ``pb.ServiceBurn``, not wrapped in Ok."""


class OperatorService:
    """Handlers of the schema's ``OperatorService``."""

    def __init__(self, backend):
        self._backend = backend

    def create_workload(self, req, ctx):
        """Accept a workload."""
        workload = _read_workload(req.workload)
        _raise_problems(validators.check_workload(workload))
        submission = operations.Submission(req.key, workload)
        accepted = _unwrap(self._backend.submit(submission))
        return pb.CreateWorkloadResponse(
            id=accepted.id, created=accepted.created
        )

    def update_workload(self, req, ctx):
        """Change a workload's count and importance."""
        workload = _read_workload(req.workload)
        _raise_problems(validators.check_workload(workload))
        _unwrap(self._backend.change(operations.Change(req.id, workload)))
        return pb.UpdateWorkloadResponse()

    def cancel_workload(self, req, ctx):
        """Cancel a workload."""
        cancelled = _unwrap(self._backend.cancel(req.id))
        return pb.CancelWorkloadResponse(cancelled=cancelled.tasks)

    def list_workloads(self, req, ctx):
        """List workloads."""
        query = operations.Query('', int(req.kind), req.team)
        views = _unwrap(self._backend.list_workloads(query))
        return pb.ListWorkloadsResponse(
            workloads=[convert.write_status(view) for view in views]
        )

    def list_tasks(self, req, ctx):
        """List a workload's tasks."""
        views = _unwrap(self._backend.list_tasks(req.workload_id))
        return pb.ListTasksResponse(
            tasks=[convert.write_task(view) for view in views]
        )

    def explain(self, req, ctx):
        """Return the decisions on a subject and their reasons."""
        found = _unwrap(self._backend.explain(req.id))
        return pb.ExplainResponse(
            subject=found.subject,
            state=found.state,
            decisions=[convert.write_decision(d) for d in found.decisions],
        )

    def get_config(self, req, ctx):
        """Return the accepted configuration."""
        current = self._backend.read_config()
        return pb.GetConfigResponse(
            revision=current.revision, text=current.text
        )

    def propose_config(self, req, ctx):
        """Accept a configuration as a whole, or refuse it."""
        revision = _unwrap(
            self._backend.propose_config(req.base_revision, req.text)
        )
        return pb.ProposeConfigResponse(revision=revision)

    def config_status(self, req, ctx):
        """Return the configuration revision in force in each process."""
        current = self._backend.read_config()
        rows = sorted(self._backend.read_config_status().items())
        return pb.ConfigStatusResponse(
            revision=current.revision,
            processes=[
                pb.ConfigInForce(process=name, revision=revision)
                for name, revision in rows
            ],
        )

    def cluster_status(self, req, ctx):
        """Report on VMs and shards."""
        shards = _unwrap(self._backend.read_shards())
        return pb.ClusterStatusResponse(
            vms=[convert.write_vm(vm) for s in shards for vm in s.vms],
            shards=[convert.write_shard(shard) for shard in shards],
        )

    def burn_report(self, req, ctx):
        """Report the burn rates of services' error budgets."""
        return pb.BurnReportResponse(services=self._backend.read_burn())


def _read_workload(message):
    if message is None:
        return data.Workload(kind=0, count=0)
    return convert.read_workload(message)


def _unwrap(outcome):
    """Return the value of an Ok, or raise the Problems of an Err.

    :raises ConnectError: the outcome is an Err
    """
    if isinstance(outcome, result.Err):
        _raise_problems(outcome.err_value)
    return outcome.ok_value


def _raise_problems(problems):
    """Raise a Connect error if there are any Problems."""
    if not problems:
        return
    text = '\n'.join(problem.describe() for problem in problems)
    raise errors.ConnectError(
        _CONNECT_CODES.get(problems[0].code, code.Code.INVALID_ARGUMENT),
        text,
        details=[convert.write_problem(problem) for problem in problems],
    )

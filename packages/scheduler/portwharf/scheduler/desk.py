# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Where an owner answers operators: each call in its caller's thread.

Calls that read are answered from the state, under the owner's lock. Calls
that change something are queued for the deciding thread and answered once
they are in the log; while the store does not answer they are refused.
"""

import concurrent.futures

import result

from portwharf.core import codec
from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import batches
from portwharf.scheduler.decisions import planning
from portwharf.scheduler import job_operations
from portwharf.scheduler import operations

OPERATION_SECONDS = 8.0
READS = {
    'list-workloads': operations.Query,
    'list-tasks': operations.Query,
    'explain': operations.Query,
    'status': operations.Query,
    'read-job': operations.Query,
    'count-pending': operations.Query,
}
WRITES = {
    'submit-job': job_operations.JobSubmission,
    'cancel-job': operations.Query,
    'submit': operations.Submission,
    'change': operations.Change,
    'cancel': operations.Query,
}


class Desk:
    """The operators' calls of one owner."""

    def __init__(self, env, owner, lock, state, members, decisions):
        """Take the owner, its lock, and what it knows."""
        self._env = env
        self._owner = owner
        self._lock = lock
        self._state = state
        self._members = members
        self._decider = decisions

    def operate(self, operation):
        """Carry out an operator's call.

        :returns: a ``messages.OperationResult``
        """
        method = operation.method
        if not self._owner.is_confirmed():
            # Another may own the shard, and know what this one does not.
            return messages.OperationResult(operation.id, 'not-owner')
        if method in READS:
            arguments = operations.read_arguments(
                READS[method], operation.body
            )
            answer = arguments.and_then(
                lambda query: self._read(method, query)
            )
        elif method in WRITES:
            arguments = operations.read_arguments(
                WRITES[method], operation.body
            )
            answer = arguments.and_then(lambda call: self._write(method, call))
        else:
            problem = data.Problem('unknown-method', 'method', method)
            return _refuse(operation, problem)
        if answer.is_err():
            return _refuse(operation, answer.err_value)
        return _answer(operation, answer.ok_value)

    def _read(self, method, query):
        """Answer a reading call from the state.

        :returns: Ok(a plain class of ``operations``), or Err(Problem)
        """
        with self._lock:
            if method == 'list-workloads':
                views = self._members.view_vms()
                listed = operations.list_workloads(self._state, query, views)
                return result.Ok(listed)
            if method == 'read-job':
                return result.Ok(self._view_job(query.id))
            if method == 'count-pending':
                queue = query.id
                return result.Ok(
                    job_operations.count_pending(self._state, queue)
                )
            views = self._members.view_vms()
            if method == 'list-tasks':
                return operations.list_tasks(self._state, query)
            if method == 'explain':
                now_ms = self._env.clock.read_unix_ms()
                return operations.explain(
                    self._state, query, self._decider.waiting, now_ms
                )
            return result.Ok(self._report_shard(views))

    def _view_job(self, job_id):
        """Return a job as it may be shown.

        An end that a later owner would not know is not shown yet.
        """
        found = self._state.find_job_state(job_id)
        if job_id in self._decider.unlogged:
            found = data.JobState.RUNNING
        return job_operations.JobView(job_id, str(found or ''))

    def _write(self, method, call):
        """Have a changing call carried out and wait until it is logged.

        :returns: Ok(a plain class of ``operations``), or Err(Problem)
        """
        if not self._owner.takes_calls():
            return result.Err(describe_stall())
        called = batches.Called(concurrent.futures.Future(), method, call)
        self._owner.take_call(called)
        try:
            answer = called.fut.result(OPERATION_SECONDS)
        except concurrent.futures.TimeoutError:
            if called.fut.cancel():
                return result.Err(describe_stall())
            return result.Err(_describe_unknown())
        if isinstance(answer, data.Problem):
            return result.Err(answer)
        return result.Ok(answer)

    def _report_shard(self, views):
        """Return what operators see of the shard."""
        report = operations.ShardReport(
            self._env.shard,
            self._env.name,
            self._state.epoch,
            self._owner.log_length,
            config_revision=self._env.keeper.read().revision,
        )
        for record in self._state.workloads.values():
            counts = self._state.count_states(record)
            report.waiting += counts[data.TaskState.WAITING]
            report.running += sum(counts[s] for s in data.HELD_STATES)
        for team, used in planning.sum_by_team(self._state).items():
            report.teams.append(operations.TeamUse(team, used))
        for view in views:
            name = view.vm.name
            report.vms.append(
                operations.VmReport(
                    view.vm,
                    view.closed or 'live',
                    view.capacity,
                    view.reserved,
                    len(self._state.held[name]),
                    self._members.get_link(name).view.config_revision,
                )
            )
        return report


def _answer(operation, value):
    return messages.OperationResult(operation.id, 'ok', codec.pack(value))


def _refuse(operation, problem):
    status = 'unknown' if problem.code == 'outcome-unknown' else 'refused'
    return messages.OperationResult(operation.id, status, problems=[problem])


def refuse_call(called):
    """Answer a call that has not been carried out, unless its caller left."""
    if called.fut.set_running_or_notify_cancel():
        called.fut.set_result(describe_stall())


def describe_stall():
    return data.Problem(
        'not-accepted',
        text="the platform's store does not answer; nothing was changed",
        remedy='send the same call again in some seconds',
    )


def _describe_unknown():
    return data.Problem(
        'outcome-unknown',
        text='the store has not confirmed the change; it may be in force',
        remedy='send the same call with the same key again',
    )

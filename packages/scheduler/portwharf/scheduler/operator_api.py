# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Handles operators' calls to an owner.

Read calls are answered from the state, under the owner's lock. Write calls
are queued for the deciding thread and answered once their events are logged;
while the store is down they are refused. A call whose caller has stopped
waiting is not carried out, since its caller has sent it again or given up; a
cancellation is, since it takes little and frees room. A call that is not
likely to be taken in while its caller waits is refused at once, so that its
caller knows that nothing was changed.
"""

import concurrent.futures
import math

import result

from portwharf.core import codec
from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import batches
from portwharf.scheduler.decisions import job_admission
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler import job_operations
from portwharf.scheduler import jobs
from portwharf.scheduler import metrics
from portwharf.scheduler import operations
from portwharf.scheduler import pending_calls

# The classes of the arguments of read and of write calls, by method.
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
CANCELS = ('cancel-job', 'cancel')
# Size limit of a write call's arguments. They go into one entry of the log.
MAX_ARGUMENT_BYTES = 2 * jobs.MAX_JOB_BYTES
# A call is refused if its estimated wait is longer than what its caller still
# waits by this factor. Passes differ in length, so it is not refused if it may
# be in time.
_MAX_WAIT_FACTOR = 1.5
_MS_PER_SECOND = 1000
# Problems by which a caller learns that its job will never run.
_UNTAKEN_CODES = ('not-accepted', job_admission.CODE_NO_ROOM)


class OperatorApi:
    """Handles the operators' calls to one owner; a context manager."""

    def __init__(self, env, owner, lock, state, members, decider):
        """Take the owner's parts.

        :param lock: guards the state and what else the deciding thread uses
        :param state: the ``state.ShardState``
        :param members: the ``membership.Membership``
        :param decider: the ``decider.Decider``
        """
        self._env = env
        self._owner = owner
        self._lock = lock
        self._state = state
        self._members = members
        self._decider = decider
        self._pending = pending_calls.PendingCalls(env.clock)

    def __enter__(self):
        self._pending.__enter__()
        return self

    def __exit__(self, *exc_info):
        self._pending.__exit__()

    def execute_operation(self, operation, respond, received_at=None):
        """Execute an operator's call.

        A read call waits for the owner's lock and is answered before this
        returns. A write call does not block.

        :param operation: a ``messages.Operation``
        :param respond: called once at most, with a
            ``messages.OperationResult``, from any thread; must not block
        :param received_at: when it came, by the owner's monotonic clock; None
            for now
        """
        if received_at is None:
            received_at = self._env.clock.read_monotonic()
        method = operation.method
        deadline = _find_deadline(operation, received_at)
        number = operation.id

        def answer(outcome):
            respond(_make_result(number, outcome))

        if self._is_past(deadline):
            metrics.DROPPED_CALLS.inc()
            answer(result.Err(pending_calls.make_expired_problem()))
        elif not self._owner.is_confirmed():
            # Another owner may have taken over and changed the state.
            respond(messages.OperationResult(number, 'not-owner'))
        elif method in READS:
            arguments = operations.read_arguments(
                READS[method], operation.body
            )
            answer(
                arguments.and_then(
                    lambda query: self._read(method, query, deadline)
                )
            )
        elif method in WRITES:
            arguments = _check_size(operation.body).and_then(
                lambda body: operations.read_arguments(WRITES[method], body)
            )
            if arguments.is_err():
                answer(arguments)
            else:
                called = batches.OperatorCall(
                    concurrent.futures.Future(),
                    method,
                    arguments.ok_value,
                    deadline,
                )
                self._write(called, received_at, answer)
        else:
            problem = data.Problem('unknown-method', 'method', method)
            answer(result.Err(problem))

    def _is_past(self, deadline):
        return self._env.clock.read_monotonic() > deadline

    def _read(self, method, query, deadline):
        """Answer a read call from the state.

        :returns: Ok(a data class of ``operations``), or Err(Problem)
        """
        with self._lock:
            if self._is_past(deadline):
                # The lock was held by a pass for long.
                metrics.DROPPED_CALLS.inc()
                return result.Err(pending_calls.make_expired_problem())
            if method == 'list-workloads':
                views = self._members.view_vms()
                listed = operations.list_workloads(self._state, query, views)
                return result.Ok(listed)
            if method == 'read-job':
                return result.Ok(self._view_job(query.id))
            if method == 'count-pending':
                count = self._decider.begun_jobs.count_pending(query.id)
                return result.Ok(job_operations.Pending(count))
            views = self._members.view_vms()
            if method == 'list-tasks':
                return operations.list_tasks(self._state, query)
            if method == 'explain':
                now_ms = self._env.clock.read_unix_ms()
                return operations.explain(
                    self._state,
                    query,
                    self._decider.waiting,
                    now_ms,
                    self._decider.explain_refusal,
                )
            return result.Ok(self._report_shard(views))

    def _view_job(self, job_id):
        """Return the ``job_operations.JobView`` of a job.

        A job's end is not shown before it is logged, as the next owner would
        not know of it.
        """
        found = self._state.find_job_state(job_id)
        if job_id in self._decider.unlogged_job_ends:
            found = data.JobState.RUNNING
        return job_operations.JobView(job_id, str(found or ''))

    def _write(self, called, received_at, answer):
        """Queue a write call, to be answered once it is logged.

        :param called: a ``batches.OperatorCall``
        :param received_at: when it came, by the owner's monotonic clock
        :param answer: called with Ok(a data class of ``operations``), or
            Err(Problem)
        """

        def respond(outcome):
            answer(self._correct_refusal(called, outcome))

        if not self._owner.accepts_calls():
            respond(result.Err(pending_calls.make_stalled_problem()))
        elif self._is_too_late(called.deadline) and not self._may_run(called):
            metrics.REFUSED_CALLS.inc()
            respond(result.Err(pending_calls.make_busy_problem()))
        else:
            job = _find_submitted_job(called)
            is_cancellation = called.method in CANCELS
            self._pending.add(
                called.fut, respond, received_at, job, is_cancellation
            )
            self._owner.take_call(called)

    def _is_too_late(self, deadline):
        """Tell whether the pass under way is likely to outlast a caller."""
        left_seconds = deadline - self._env.clock.read_monotonic()
        wait_seconds = self._owner.estimate_wait_seconds()
        return wait_seconds > _MAX_WAIT_FACTOR * left_seconds

    def _may_run(self, called):
        """Tell whether a call submits a job that may run by another sending.

        That one may not have been answered: to refuse this one would let its
        caller believe that the job never runs.
        """
        job = _find_submitted_job(called)
        return bool(job) and (
            self._pending.has_submission(job) or job in self._state.jobs
        )

    def _correct_refusal(self, called, outcome):
        """Return a call's outcome, which is unknown if its job may run.

        :param outcome: Ok(answer), or Err(Problem)
        """
        if (
            outcome.is_err()
            and outcome.err_value.code in _UNTAKEN_CODES
            and self._may_run(called)
        ):
            return result.Err(pending_calls.make_unknown_problem())
        return outcome

    def _report_shard(self, views):
        """Return the shard's ``operations.ShardReport``.

        :param views: list of ``vmview.VmView``
        """
        report = operations.ShardReport(
            self._env.shard,
            self._env.name,
            self._state.epoch,
            self._owner.log_length,
            config_revision=self._env.keeper.read().revision,
            capacity=self._decider.make_capacity_reports(),
        )
        for record in self._state.workloads.values():
            counts = self._state.count_states(record)
            report.waiting += counts[data.TaskState.WAITING]
            report.running += sum(counts[s] for s in data.RESERVING_STATES)
        for team, used in pass_inputs.sum_by_team(self._state).items():
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


def _make_result(number, outcome):
    """Return the ``messages.OperationResult`` for a call's outcome."""
    if outcome.is_ok():
        body = codec.pack(outcome.ok_value)
        return messages.OperationResult(number, 'ok', body)
    problem = outcome.err_value
    status = 'unknown' if problem.code == 'outcome-unknown' else 'refused'
    return messages.OperationResult(number, status, problems=[problem])


def _check_size(body):
    """Return Ok(the arguments of a write call), or Err(Problem)."""
    if len(body) <= MAX_ARGUMENT_BYTES:
        return result.Ok(body)
    return result.Err(
        data.Problem(
            operations.CODE_BAD_ARGUMENTS,
            value=f'{len(body)} bytes',
            text=f'must be at most {MAX_ARGUMENT_BYTES} bytes',
            remedy='make it smaller and send it again',
        )
    )


def refuse_call(called):
    """Refuse a queued call unless it has been answered.

    :param called: a ``batches.OperatorCall``
    """
    if called.fut.set_running_or_notify_cancel():
        called.fut.set_result(pending_calls.make_stalled_problem())


def _find_submitted_job(called):
    """Return the id of the job that a call submits, or ''."""
    if called.method != 'submit-job':
        return ''
    return called.arguments.job.id


def _find_deadline(operation, received_at):
    """Return until when a call may be begun, by the owner's clock."""
    if operation.method in CANCELS or operation.left_ms <= 0:
        return math.inf
    return received_at + operation.left_ms / _MS_PER_SECOND

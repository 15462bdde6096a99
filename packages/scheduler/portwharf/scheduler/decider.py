# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The decisions of an owner: one pass turns its input into a batch.

Everything here runs in the owner's deciding thread, under its lock, and does
no I/O: a ``batches.Batch`` holds the events to log and the messages to send
before and after that.
"""

import logging

import result

from portwharf.core import data
from portwharf.core import ids
from portwharf.core import logs
from portwharf.peers import messages
from portwharf.scheduler import batches
from portwharf.scheduler import begun_jobs
from portwharf.scheduler import capacity_reports
from portwharf.scheduler import claim_updates
from portwharf.scheduler import crashloop
from portwharf.scheduler import decisionlog
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler.decisions import gangs
from portwharf.scheduler.decisions import hung_tasks
from portwharf.scheduler.decisions import job_admission
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import return_schedule
from portwharf.scheduler.decisions import scheduled_returns
from portwharf.scheduler.decisions import service_protection
from portwharf.scheduler.decisions import shard_load
from portwharf.scheduler.decisions import shortage_shares
from portwharf.scheduler.decisions import task_moves
from portwharf.scheduler.decisions import uneven_pools
from portwharf.scheduler import events
from portwharf.scheduler import job_operations
from portwharf.scheduler import job_retention
from portwharf.scheduler import late_successes
from portwharf.scheduler import metrics
from portwharf.scheduler import occurrences
from portwharf.scheduler import operations
from portwharf.scheduler import pass_timing
from portwharf.scheduler import pending_calls
from portwharf.scheduler import policy
from portwharf.scheduler import prepared_starts
from portwharf.scheduler import reconcile
from portwharf.scheduler import rosters

LOG = logging.getLogger(__name__)

_DROP_INTERVAL_SECONDS = 20.0
# Time for which preemption waits for an eviction that is in progress.
_MAX_EVICTION_SECONDS = 3.0
_HEALTHY_REFUSALS = (
    messages.REFUSED_GRANT,
    messages.REFUSED_ZONE,
    messages.REFUSED_KIND,
)


class Decider:
    """Makes the decisions of one owner."""

    def __init__(
        self,
        env,
        state,
        grant_table,
        health,
        advisor=None,
        timer=None,
        on_member_change=None,
    ):
        """Take the owner's environment and state.

        :param env: an ``environment.Environment``
        :param state: the ``state.ShardState``
        :param grant_table: a ``grants.GrantTable``
        :param health: a ``health.WorkerHealthTracker``
        :param advisor: a ``policy.TicketCache``, or None
        :param timer: a ``pass_timing.PassTimer``, or None
        :param on_member_change: function called after a member was added or
            removed, or None
        """
        self._on_member_change = on_member_change or (lambda: None)
        self._timer = timer or pass_timing.PassTimer(env.clock)
        self._advisor = advisor
        self._env = env
        self._state = state
        self._grants = grant_table
        self._health = health
        self._members = None
        self._crashloops = None
        self._next_drop_time = 0.0
        # The VMs that submissions of one pass are checked against.
        self._views = None
        began = env.clock.read_monotonic()
        self.service_protection = service_protection.ServiceProtection(
            state, began
        )
        self.runtimes = forecast.RunTimeModel()
        self.load = shard_load.LoadTracker(began)
        self.shares = shortage_shares.ShortageShares(state)
        self.returns = return_schedule.ReturnSchedule(env.clock)
        self.admission = job_admission.JobAdmission(
            state,
            self.runtimes,
            self.load,
            began,
            scheduled_returns.ScheduledReturns(self.returns, self._is_short),
            self.shares,
            env.max_job_bytes,
        )
        self.preparation = prepared_starts.PreparedStarts(state)
        self.begun_jobs = begun_jobs.BegunJobs(state)
        self._occurrences = occurrences.OccurrenceSchedule(state)
        self._retention = job_retention.JobRetention(state, env.max_job_bytes)
        self._late_successes = late_successes.LateSuccesses(state)
        self.rosters = rosters.RosterKeeper(state)
        self._claims = claim_updates.ClaimNotifier(state)
        # ``placement.UnplacedWorkload`` of the last pass, by workload id.
        self.waiting = {}
        self._patience = pass_inputs.Patience()
        self._wait_log = decisionlog.WaitLog()
        self._move_history = task_moves.MoveHistory()
        self._destinations = task_moves.ReservedDestinations()
        # When evictions in progress were first seen, by (VM name, task,
        # attempt).
        self._evicting_since = {}
        self._hung_tasks = hung_tasks.HungTaskMover(
            state, self.service_protection.get_placed_at
        )
        # (task, attempt) rows that a VM should run but did not list, by VM.
        self._missing = {}
        # Ended jobs whose end is not logged yet and must not be shown.
        self.unlogged_job_ends = set()

    def set_members(self, members):
        """Set the ``membership.Membership``, which depends on this object."""
        self._members = members
        self._crashloops = crashloop.CrashLoopDetector(
            self._env.clock, self._state, members
        )

    def make_capacity_reports(self):
        """Return the ``operations.CapacityReport`` values for operators."""
        now = self._env.clock.read_monotonic()
        now_ms = self._env.clock.read_unix_ms()
        loads = self.load.list_loads(now)
        for load in loads:
            backlog = self.load.get_backlog(
                load.capacity_class, self._state, now_ms, self.shares.is_owed
            )
            load.left = backlog.left
        return capacity_reports.make_reports(
            loads,
            self.admission.refusals,
            self.returns.count_waiting(),
            self.shares.list_owed(),
            self._env.keeper.read().queues,
        )

    def explain_refusal(self, job_id):
        """Return the ``events.Decision`` that refused a job, or None."""
        return self.returns.explain(job_id)

    def decide(self, items):
        """Process items from the inbox and make all decisions of a pass.

        :param items: list of items of :mod:`portwharf.scheduler.batches`;
            None only triggers the pass
        :returns: a ``batches.Batch``
        """
        batch = self._process_items(items)
        self._crashloops.resolve_suspects(
            batch, self._apply_event, self._handle_task_end
        )
        self._record_checkpoints(batch)
        self._record_run_times()
        self._send_missing(batch)
        self._update_members(batch)
        self._requeue_lost_tasks(batch)
        self._drain_leaving_vms(batch)
        self._timer.mark('members')
        self._relieve_services(batch)
        self._timer.mark('relieve')
        self._expand_recurring_jobs(batch)
        views = self._place_tasks(batch)
        self._drop_occurrences(batch)
        self._drop_expired(batch)
        if views is not None:
            self._update_roster(views, batch)
        self._confirm_refusals(batch)
        self._timer.mark('finish')
        return batch

    def process_items(self, items):
        """Process items from the inbox, and decide nothing else.

        :param items: as for :meth:`decide`, which must follow
        :returns: a ``batches.Batch``
        """
        batch = self._process_items(items)
        self._confirm_refusals(batch)
        return batch

    def _process_items(self, items):
        batch = batches.Batch()
        self._views = None
        self.admission.start_pass(self._env.clock.read_monotonic())
        dropped = 0
        for item in items:
            if isinstance(item, batches.ReportsItem):
                self._process_reports(item, batch)
            elif isinstance(item, batches.MeasurementsItem):
                self._record_measures(item)
            elif item is not None and not self._execute_call(item, batch):
                dropped += 1
        self._accept_late_successes(batch)
        if dropped:
            metrics.DROPPED_CALLS.inc(dropped)
            decisionlog.log_dropped_calls(dropped)
        self._timer.mark('items')
        return batch

    def _process_reports(self, item, batch):
        """Process a side's reports.

        :param item: a ``batches.ReportsItem``
        """
        name = item.link.name
        if self._members.get_link(name) is not item.link:
            # The VM has another address now. Its full report there has all
            # that still holds, and commands may have followed it already.
            return
        verdict = reconcile.ReportOutcome(
            succeeded=self._late_successes.list_tasks()
        )
        # Reports from an earlier connection are not a complete list any
        # more: the side may have restarted since.
        is_current = item.connection == item.link.view.connection
        if item.message.whole and is_current:
            missing = reconcile.find_missing(
                self._state,
                name,
                item.message.reports,
                self.preparation.list_started(name),
            )
            self._missing[name] = [(task.id, task.attempt) for task in missing]
            item.link.view.reported = True
            self.preparation.record_full_report(name)
            self.service_protection.record_lost_commands(name)
        for report in item.message.reports:
            self._record_health(name, report)
            task = self._state.tasks.get(report.task)
            if task is not None:
                decisionlog.log_attempt_end(name, report)
                if (
                    report.state == data.RunState.SUCCEEDED
                    and report.attempt < task.attempt
                ):
                    decisionlog.log_superseded_success(name, report, task)
            reconcile.process_report(self._state, name, report, verdict)
            self._crashloops.record_report(name, report)
            self.begun_jobs.record_report(report)
        self._apply_outcome(verdict, name, item.link, batch)

    def _apply_outcome(self, verdict, name, link, batch):
        """Add what follows from reports to a batch.

        :param verdict: a ``reconcile.ReportOutcome``
        :param name: the name of the VM that sent the reports
        :param link: the link to its side, or None
        """
        for report in verdict.late:
            self._late_successes.add(name, report)
        batch.events.extend(verdict.events)
        decisionlog.log_successes(
            name, verdict.events, self.runtimes.get_measured_ms
        )
        for event in verdict.events:
            if isinstance(event, events.TaskEnded):
                self._handle_task_end(event, batch)
            elif isinstance(event, events.TaskRequeued):
                self._stop_gang(event, batch)
        for command in verdict.commands:
            batch.send(link, command)
        if verdict.forget:
            batch.send(link, messages.ForgetTasks(verdict.forget))

    def _accept_late_successes(self, batch):
        """End tasks by late successes, and stop their later attempts.

        Must be called before waiting tasks are placed.
        """
        for name, report in self._late_successes.take_due():
            verdict = reconcile.ReportOutcome()
            reconcile.process_report(self._state, name, report, verdict)
            link = self._members.get_link(name)
            self._apply_outcome(verdict, name, link, batch)
        now_ms = self._env.clock.read_unix_ms()
        for task in self._late_successes.list_placed():
            reason = pass_inputs.REASON_SUCCEEDED
            self._evict_task(task, reason, now_ms, batch)

    def _send_missing(self, batch):
        """Send commands for tasks that a side did not list.

        Waits until the side has a grant, without which it starts nothing.
        """
        for name, rows in list(self._missing.items()):
            link = self._members.get_link(name)
            if link is None or not link.view.reported:
                del self._missing[name]
                continue
            if not link.view.granted:
                continue
            del self._missing[name]
            for task_id, attempt in rows:
                task = self._find_assigned_task(name, task_id)
                if task is not None and task.attempt == attempt:
                    ticket = self._find_ticket(task.id, link.view.life)
                    command = reconcile.make_missing_command(
                        self._state, task, ticket, self.runtimes
                    )
                    batch.send(link, command)

    def _record_checkpoints(self, batch):
        """Log the checkpoints of running tasks, in case their VM is lost."""
        for link in self._members.list_links():
            saved = link.view.saved
            while saved:
                one = saved.popleft()
                task = self._state.held[link.name].get(one.task)
                if task is None or task.attempt != one.attempt:
                    continue
                if task.checkpoint != one.checkpoint:
                    event = events.TaskSaved(
                        one.task, one.attempt, one.checkpoint
                    )
                    self._apply_event(batch, event)

    def _record_run_times(self):
        """Update run time estimates from what sides have measured."""
        for link in self._members.list_links():
            measured = link.view.measured
            while measured:
                one = measured.popleft()
                record = self._state.find_workload(one.task)
                if record is None or not record.workload.job:
                    continue
                queue = self._state.jobs[record.workload.job].job.queue
                self.runtimes.record_run_time(queue, record, one.run_ms)

    def _find_assigned_task(self, vm, task_id):
        """Return a task that a VM holds or has prepared, or None."""
        held = self._state.held[vm].get(task_id)
        return held or self._state.prepared[vm].get(task_id)

    def _find_ticket(self, task_id, life):
        """Return the policy's ticket for a task and a worker, or ''."""
        if self._advisor is None:
            return ''
        return self._advisor.find_ticket(ids.split_task_id(task_id), life)

    def _handle_task_end(self, event, batch):
        """Cancel or end the job of an ended task, if it has one."""
        name = self._state.find_workload(event.task).workload.job
        if not name:
            return
        job = self._state.jobs[name]
        self._occurrences.record_task_end(ids.split_task_id(event.task))
        if event.state == data.TaskState.FAILED and not job.cancelled:
            self._apply_event(batch, events.JobCancelled(name))
            for task in job_operations.list_held(self._state, job):
                command = reconcile.make_stop(self._state, task, False)
                batch.send(self._members.get_link(task.vm), command)
        job_state = self._state.find_job_state(name)
        if job_state in data.ENDED_JOB_STATES:
            if name not in self.unlogged_job_ends:
                now_ms = self._env.clock.read_unix_ms()
                decisionlog.log_job_end(job, job_state, now_ms)
            self.unlogged_job_ends.add(name)
            batch.after_commit.append(
                lambda: self.unlogged_job_ends.discard(name)
            )

    def _stop_gang(self, event, batch):
        """Evict the other members of a gang when one has ended.

        They cannot work without it; all members restart together.
        """
        record = self._state.find_workload(event.task)
        if not record.workload.gang or record.cancelled:
            return
        now_ms = self._env.clock.read_unix_ms()
        for task in gangs.list_members_to_stop(record):
            self._evict_task(task, pass_inputs.REASON_BROKEN, now_ms, batch)

    def _record_measures(self, item):
        """Record a side's measurements of its services.

        :param item: a ``batches.MeasurementsItem``
        """
        targets = self._env.keeper.read().targets
        now = self._env.clock.read_monotonic()
        self.service_protection.record_measures(
            item.vm, item.measures, targets, now
        )

    def _record_health(self, vm, report):
        """Update the health of a VM's worker by a report of an attempt."""
        task = self._state.tasks.get(report.task)
        if task is None or (task.vm, task.attempt) != (vm, report.attempt):
            return
        record = self._state.find_workload(task.id)
        workload = record.id
        now = self._env.clock.read_monotonic()
        attempt = (task.id, task.attempt)
        if report.state == data.RunState.RUNNING:
            if record.workload.kind == data.Kind.STANDING:
                self._health.record_running(vm, attempt, now)
            return
        self._health.record_end(vm, attempt)
        if report.state == data.RunState.SUCCEEDED:
            self._health.record_success(vm)
        elif report.state == data.RunState.FAILED or report.at_worker:
            job = record.workload.job
            if self._health.record_failure(vm, workload, now, job):
                LOG.warning('worker quarantined', extra=logs.fields(vm=vm))
        elif report.reason in _HEALTHY_REFUSALS:
            # These refusals say nothing about the health of the worker.
            return
        elif report.state == data.RunState.REFUSED:
            self._health.record_refusal(vm, workload, now)

    def _execute_call(self, item, batch):
        """Execute an operator's call unless its caller has given up.

        :param item: a ``batches.OperatorCall``
        :returns: whether it was executed
        """
        if not item.fut.set_running_or_notify_cancel():
            return False
        if self._env.clock.read_monotonic() > item.deadline:
            item.fut.set_result(pending_calls.make_expired_problem())
            return False
        now_ms = self._env.clock.read_unix_ms()
        if item.method == 'submit':
            if self._views is None:
                self._views = self._members.view_vms()
            outcome = operations.submit(
                self._state,
                item.arguments,
                self._views,
                self._env.shard,
                now_ms,
            )
        elif item.method == 'submit-job':
            outcome = self._submit_job(item.arguments, now_ms, batch)
        elif item.method == 'cancel-job':
            job_id = item.arguments.id
            outcome = job_operations.cancel_job(self._state, job_id)
            self.returns.cancel(job_id)
            decisionlog.log_cancellation(outcome, job_id)
        elif item.method == 'change':
            outcome = operations.change(self._state, item.arguments)
        else:
            outcome = operations.cancel(self._state, item.arguments)
        if outcome.is_err():
            batch.answer(item.fut, outcome.err_value)
            return True
        batch.events.extend(outcome.ok_value.events)
        for task in outcome.ok_value.stop:
            command = reconcile.make_stop(self._state, task, False)
            batch.send(self._members.get_link(task.vm), command)
        batch.answer(item.fut, outcome.ok_value.answer)
        return True

    def _submit_job(self, call, now_ms, batch):
        """Accept or refuse a job; one that is in the log stays accepted.

        :returns: Ok(CallOutcome), or Err(Problem)
        """
        job = call.job
        if job_operations.needs_admission(self._state, job):
            verdict, problem = self.admission.decide(job, now_ms)
            if problem is not None:
                metrics.REFUSED_JOBS.labels(verdict.reason).inc()
                retry_ms = problem.retry_after_ms
                decisionlog.log_refusal(job, verdict, now_ms, retry_ms)
                batch.refusals.append(
                    job_operations.explain_refusal(job, problem, now_ms)
                )
                return result.Err(problem)
            job.asked_ms = self.returns.get_asked_ms(job.id, now_ms)
        outcome = job_operations.submit_job(self._state, call, now_ms)
        decisionlog.log_submission(outcome, job)
        if outcome.is_ok() and outcome.ok_value.answer.created:
            self.admission.record_accepted(job, now_ms)
            self._occurrences.add(self._state.jobs[job.id])
        return outcome

    def _is_short(self, capacity_class):
        now = self._env.clock.read_monotonic()
        return self.load.is_short(capacity_class, now)

    def _confirm_refusals(self, batch):
        """Have the batch appended if it refuses jobs.

        Only an append proves that no other owner may have accepted them.
        """
        if batch.refusals and not batch.events:
            event = events.DecisionMade(batch.refusals[-1])
            self._apply_event(batch, event)

    def _update_members(self, batch):
        """Add or remove one member, or give it a vote, if that is due."""
        event = self._members.pop_member_change(
            self._env.clock.read_monotonic()
        )
        if event is None:
            return
        former = self._state.list_voters()
        self._apply_event(batch, event)
        voters = self._state.list_voters()
        # A successor may have claimed the shard without this change.
        self._grants.set_voters(former | voters)
        batch.after_commit.append(lambda: self._grants.set_voters(voters))
        batch.after_commit.append(self._on_member_change)

    def _requeue_lost_tasks(self, batch):
        """Requeue the tasks of lost VMs.

        Exclusive tasks wait until their VM's grant has surely expired.
        """
        now = self._env.clock.read_monotonic()
        now_ms = self._env.clock.read_unix_ms()
        for name in list(self._state.held):
            held = list(self._state.held[name].values())
            if not held or not self._is_lost(name, now):
                continue
            may_replace = self._grants.may_replace(name, now)
            for task in held:
                workload = self._state.find_workload(task.id).workload
                if workload.exclusive and not may_replace:
                    continue
                event = events.TaskRequeued(task.id, task.attempt)
                decisionlog.log_lost_attempt(task, name)
                # The side may only have been slow, and reports on the same
                # connection only what has changed.
                command = reconcile.make_stop(self._state, task, False)
                batch.send(self._members.get_link(name), command)
                self._apply_event(batch, event)
                decision = pass_inputs.explain_loss(task, name, now_ms)
                self._apply_event(batch, events.DecisionMade(decision))
                self._stop_gang(event, batch)

    def _is_lost(self, name, now):
        """Return whether the tasks of a VM count as lost.

        A VM is lost if it is silent. It is lost as well if its side sends
        heartbeats but no report of what its worker runs, and its grant has
        expired: its tasks would otherwise wait for that report forever.
        """
        if self._members.is_silent(name, now):
            return True
        unreported = not self._members.has_reported(name)
        return unreported and self._grants.may_replace(name, now)

    def _drain_leaving_vms(self, batch):
        """Evict tasks from VMs that the platform is about to remove."""
        now_ms = self._env.clock.read_unix_ms()
        for link in self._members.list_links():
            if not self._members.is_leaving(link.name):
                continue
            for task in list(self._state.held[link.name].values()):
                if task.state == data.TaskState.PLACED:
                    reason = pass_inputs.REASON_LEAVING
                    self._evict_task(task, reason, now_ms, batch)

    def _relieve_services(self, batch):
        """Relieve services that are likely to miss their targets."""
        now = self._env.clock.read_monotonic()
        weights = self._env.keeper.read().weights
        self.service_protection.remedies.set_weights(weights)
        self.service_protection.forget_ended()
        self.service_protection.record_running(now)
        for action in self.service_protection.find_actions(now):
            self._apply_action(action, batch)

    def _apply_action(self, action, batch):
        """Throttle, unthrottle or evict one task."""
        task = self._state.tasks[action.task]
        now_ms = self._env.clock.read_unix_ms()
        if not action.percent:
            self._evict_task(task, action.reason, now_ms, batch)
            return
        decision = pass_inputs.explain_throttling(task, action, now_ms)
        self._apply_event(batch, events.DecisionMade(decision))
        if action.percent < 100:
            self._apply_event(
                batch,
                events.TaskThrottled(task.id, task.attempt, action.percent),
            )
        batch.send(
            self._members.get_link(task.vm),
            messages.ThrottleTask(
                self._state.epoch, task.id, task.attempt, action.percent
            ),
        )

    def _evict_task(self, task, reason, now_ms, batch):
        """Checkpoint and stop an attempt, so that it can run elsewhere."""
        self._apply_event(batch, events.TaskEvicting(task.id, task.attempt))
        decisionlog.log_eviction(task, reason)
        decision = pass_inputs.explain_eviction(task, reason, now_ms)
        self._apply_event(batch, events.DecisionMade(decision))
        command = reconcile.make_stop(self._state, task, True)
        batch.send(self._members.get_link(task.vm), command)

    def _place_tasks(self, batch):
        """Place waiting tasks.

        :returns: list of ``vmview.VmView`` as the pass has left them, or None
            if nothing may be placed now
        """
        now = self._env.clock.read_monotonic()
        if not self._may_place(now):
            return None
        now_ms = self._env.clock.read_unix_ms()
        weigher = precedence.Weigher(
            self._state, now_ms, self.runtimes, self.shares
        )
        self.shares.update(
            weigher, now, now_ms, self._is_short, self.load.get_rate
        )
        views = self._members.view_vms(weigher)
        self._crashloops.mark_unstable(views)
        self._crashloops.mark_suspects(views)
        self._timer.mark('views')
        self._resolve_prepared_tasks(batch, views, now)
        # Tasks of lost VMs and prepared tasks wait again by now.
        self._accept_late_successes(batch)
        if not self._members.has_recent_zones(now):
            # While the closed zones are unknown, only prepared tasks start;
            # their sides refuse those in zones that they know are closed.
            return views
        quotas = self._env.keeper.read().quotas
        demands = self._list_demands(now, now_ms, weigher)
        if self._advisor is not None:
            policy.assign_tickets(self._advisor, demands, views)
        uneven_pools.require_pace(demands, views)
        stalled = self._find_stalled_tasks(now, weigher)
        self._timer.mark('demands')
        early = self._move_before_placement(stalled, demands, views, batch)
        self._timer.mark('move')
        done = pass_inputs.plan(
            self._state,
            demands,
            views,
            quotas,
            now_ms,
            self.service_protection.remedies.predict_effect,
        )
        self._timer.mark('place')
        self.waiting = {one.record.id: one for one in done.waiting}
        self._patience.record_waits(self.waiting, now, demands)
        self._wait_log.update(self.waiting, now)
        # Before the update, which drops the backlog of the last pass.
        metrics.set_class_loads(self.load.list_loads(now))
        self.load.update(self._state, views, self.waiting, weigher, now)
        decisionlog.log_placements(done.placements)
        for placed in done.placements:
            event = events.TaskPlaced(placed.task, placed.attempt, placed.vm)
            self._apply_event(batch, event)
            self._apply_event(batch, events.DecisionMade(placed.decision))
            task = self._state.tasks[placed.task]
            attempt = (task.id, task.attempt)
            self._health.record_placement(placed.vm, attempt, now)
            self._crashloops.record_placement(task)
            self.service_protection.record_placement(attempt, now)
            command = reconcile.make_start(
                self._state, task, placed.ticket, weigher
            )
            batch.send(self._members.get_link(placed.vm), command)
        self._timer.mark('starts')
        links = self._members.list_links()
        for update in self._claims.make_due_updates(links, weigher, now):
            batch.send(*update)
        # Tasks that moved above are not placed any more.
        limit = task_moves.MAX_MOVES_PER_PASS - early
        self._move_stalled_tasks(stalled, views, limit, batch)
        self._move_hung_tasks(views, now, weigher, batch)
        self._timer.mark('move')
        self._evict_for_waiting(done, views, quotas, batch)
        self._timer.mark('evict')
        self._prepare_tasks(done, views, batch)
        self._timer.mark('prepare')
        metrics.PLACEMENTS.inc(len(done.placements))
        return views

    def _find_stalled_tasks(self, now, weigher):
        """Return the filling tasks that make little progress.

        :returns: list of ``task_moves.StalledTask``
        """
        return task_moves.find_stalled_tasks(
            self._state,
            self._members.list_links(),
            self.service_protection.get_placed_at,
            now,
            weigher,
        )

    def _move_before_placement(self, stalled, demands, views, batch):
        """Move stalled tasks that rank before all waiting filling tasks.

        :param stalled: list of ``task_moves.StalledTask``
        :returns: number of moves
        """
        now = self._env.clock.read_monotonic()
        self._destinations.apply(views, now)
        first = task_moves.list_first(stalled, demands, views)
        if not first:
            return 0
        limit = task_moves.MAX_MOVES_PER_PASS
        chosen = self._move_stalled_tasks(first, views, limit, batch)
        for entry, vm in chosen:
            self._destinations.record(entry, vm, now)
        if chosen:
            metrics.EARLY_MOVES.inc(len(chosen))
            decisionlog.log_early_moves(len(chosen), len(first))
        return len(chosen)

    def _move_stalled_tasks(self, stalled, views, limit, batch):
        """Move filling tasks that make little progress to better VMs.

        :param stalled: list of ``task_moves.StalledTask``
        :param limit: maximum number of moves
        :returns: the moves, as ``task_moves.choose_moves`` returns them
        """
        now = self._env.clock.read_monotonic()
        now_ms = self._env.clock.read_unix_ms()
        placed = [
            entry
            for entry in stalled
            if entry.task.state == data.TaskState.PLACED
        ]
        chosen = task_moves.choose_moves(placed, views, limit)
        for entry, _ in chosen:
            task = entry.task
            self._move_history.record_move(task.id, task.vm, now)
            self._evict_task(task, task_moves.REASON_STALLED, now_ms, batch)
        return chosen

    def _move_hung_tasks(self, views, now, weigher, batch):
        """Move tasks that make no progress to other VMs."""
        now_ms = self._env.clock.read_unix_ms()
        links = self._members.list_links()
        moves, kept = self._hung_tasks.choose(links, views, weigher, now)
        for one in kept:
            decisionlog.log_hung_attempt(one)
        for one in moves:
            decisionlog.log_hung_attempt(one)
            metrics.HUNG_MOVES.inc()
            task = one.task
            if self._health.record_hung(
                task.vm, task.id, one.record.workload.job, now
            ):
                LOG.warning(
                    'worker quarantined', extra=logs.fields(vm=task.vm)
                )
            self._move_history.record_move(
                task.id, task.vm, now, hung_tasks.AVOID_ORIGIN_SECONDS
            )
            self._evict_task(task, hung_tasks.REASON_HUNG, now_ms, batch)

    def _list_demands(self, now, now_ms, weigher):
        demands = pass_inputs.list_demands(
            self._state,
            lambda workload: self._health.list_avoided(workload, now),
            now_ms,
            weigher,
        )
        origins = self._move_history.list_recent_origins(now)
        held = self._crashloops.list_held_back()
        for demand in demands:
            demand.moved_from = origins
            demand.held_tasks = held
        self._patience.apply(demands, now)
        return demands

    def _evict_for_waiting(self, done, views, quotas, batch):
        """Evict tasks to make room for more important waiting ones."""
        now = self._env.clock.read_monotonic()
        if not done.waiting or self._is_evicting(now):
            return
        over = pass_inputs.find_over_quota(self._state, quotas)
        # Another eviction would free no room where one does not end.
        stuck = {vm for vm, _, _ in self._evicting_since}
        views = [view for view in views if view.vm.name not in stuck]
        for action in self.service_protection.plan_evictions(
            done.ordered, views, over, now
        ):
            self._apply_action(action, batch)

    def _is_evicting(self, now):
        """Return whether an eviction is in progress that may free room soon.

        One that does not end, such as on a worker that answers no stops, must
        not prevent all others.
        """
        names = [
            (vm, task.id, task.attempt)
            for vm, held in self._state.held.items()
            for task in held.values()
            if task.state == data.TaskState.EVICTING
        ]
        self._evicting_since = {
            name: self._evicting_since.get(name, now) for name in names
        }
        return any(
            now - since < _MAX_EVICTION_SECONDS
            for since in self._evicting_since.values()
        )

    def _may_place(self, now):
        return self._grants.may_grant(now) and self._members.has_settled(now)

    def _resolve_prepared_tasks(self, batch, views, now):
        """Place, stop or requeue prepared tasks.

        Their assignment to the VM is logged already, so the starts need not
        wait for the next append.
        """
        resolved, stopped = self.preparation.resolve(
            views,
            lambda vm: self._is_lost(vm, now),
            lambda vm: self._grants.may_replace(vm, now),
            self._late_successes.list_tasks(),
        )
        for event in resolved:
            self._apply_event(batch, event)
            if isinstance(event, events.TaskPlaced):
                task = self._state.tasks[event.task]
                command = reconcile.make_start(self._state, task)
                link = self._members.get_link(event.vm)
                batch.send_before_commit(link, command)
        for task in stopped:
            command = reconcile.make_stop(self._state, task, False)
            batch.send(self._members.get_link(task.vm), command)

    def _prepare_tasks(self, done, views, batch):
        """Commit some starts in advance, for an outage of the store."""
        if not done.waiting:
            return
        for event in self.preparation.prepare_tasks(done.ordered, views):
            self._apply_event(batch, event)

    def _update_roster(self, views, batch):
        """Update the roster when services have moved."""
        now = self._env.clock.read_monotonic()
        if not self._may_place(now):
            return
        event, has_changed = self.rosters.update(
            views,
            self._env.clock.read_unix_ms(),
            lambda vm: self._grants.has_lapsed(vm, now),
        )
        if event is not None:
            self._apply_event(batch, event)
        if has_changed:
            batch.after_commit.append(self._announce_rosters)

    def _announce_rosters(self):
        """Publish the rosters, which are logged, and send them to all."""
        self.rosters.publish()
        self._members.announce(self.rosters.make_update())

    def _expand_recurring_jobs(self, batch):
        """Give occurrences of recurring jobs that are due their workloads."""
        now_ms = self._env.clock.read_unix_ms()
        for event in self._occurrences.make_due_events(now_ms):
            self._apply_event(batch, event)

    def _drop_occurrences(self, batch):
        """Drop the occurrences of recurring jobs that have succeeded."""
        for event in self._occurrences.make_drop_events():
            self._apply_event(batch, event)

    def _drop_expired(self, batch):
        """Drop workloads and jobs that ended long ago, at intervals."""
        now = self._env.clock.read_monotonic()
        if now < self._next_drop_time:
            return
        self._next_drop_time = now + _DROP_INTERVAL_SECONDS
        metrics.JOB_BYTES.set(self._state.job_bytes)
        now_ms = self._env.clock.read_unix_ms()
        for workload_id in pass_inputs.list_expired_workloads(
            self._state, now_ms
        ):
            self._apply_event(batch, events.WorkloadDropped(workload_id))
        for job_id in self._retention.list_expired(now, now_ms):
            self._apply_event(batch, events.JobDropped(job_id))
        self.begun_jobs.forget_ended()
        self._health.forget(self._state.unended)
        self.runtimes.forget(self._state.unended)
        self._hung_tasks.forget(self._state.unended)

    def _apply_event(self, batch, event):
        self._state.apply(event)
        batch.events.append(event)

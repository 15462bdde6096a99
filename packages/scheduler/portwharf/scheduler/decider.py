# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What an owner decides in one pass: events, and what is done after them.

Everything here runs in the owner's deciding thread, under its lock, and
touches neither the store nor a socket: a :class:`Batch` says what is to be
logged and what may be sent before and after that.
"""

import logging

from portwharf.core import data
from portwharf.core import ids
from portwharf.core import logs
from portwharf.peers import messages
from portwharf.scheduler import batches
from portwharf.scheduler import crashloop
from portwharf.scheduler import decisionlog
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler.decisions import gangs
from portwharf.scheduler.decisions import planning
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import pressure
from portwharf.scheduler.decisions import rehoming
from portwharf.scheduler import events
from portwharf.scheduler import job_operations
from portwharf.scheduler import metrics
from portwharf.scheduler import operations
from portwharf.scheduler import policy
from portwharf.scheduler import preparing
from portwharf.scheduler import reconcile
from portwharf.scheduler import rosters

LOG = logging.getLogger(__name__)

_DROP_SECONDS = 20.0
_SOUND_REFUSALS = (messages.REFUSED_GRANT, messages.REFUSED_ZONE)


class Decider:
    """The decisions of one owner."""

    def __init__(self, env, state, grant_table, health, advisor=None):
        """Take an ``environment.Environment`` and what the owner knows.

        :param advisor: a ``policy.Advisor``, or None
        """
        self._advisor = advisor
        self._env = env
        self._state = state
        self._grants = grant_table
        self._health = health
        self._members = None
        self._crashloops = None
        self._next_drop = 0.0
        # What submissions of one pass are checked against, made once.
        self._capacities = None
        began = env.clock.read_monotonic()
        self.pressure = pressure.Pressure(state, began)
        self.runtimes = forecast.RunTimes()
        self.preparation = preparing.Preparation(state)
        self.rosters = rosters.RosterKeeper(state)
        # Why workloads wait, as of the last pass, by their ids.
        self.waiting = {}
        self._patience = planning.Patience()
        self._waits = decisionlog.WaitLog()
        self._shunned = rehoming.Shunned()
        # Attempts that a side did not list and that it has to be told of.
        self._owed = {}
        # Jobs whose end is not in the log yet, and so must not be shown.
        self.unlogged = set()

    def set_members(self, members):
        """Take the ``membership.Membership``, which is made after this."""
        self._members = members
        self._crashloops = crashloop.CrashLoops(
            self._env.clock, self._state, members
        )

    def decide(self, items):
        """Work out events and what is done after them."""
        batch = batches.Batch()
        self._capacities = None
        for item in items:
            if isinstance(item, batches.Reported):
                self._judge(item, batch)
            elif isinstance(item, batches.Measured):
                self._learn(item)
            elif item is not None:
                self._carry_out(item, batch)
        self._crashloops.judge(batch, self._add, self._note_ended)
        self._note_saved(batch)
        self._note_measured()
        self._catch_up(batch)
        self._change_members(batch)
        self._requeue_lost(batch)
        self._empty_leaving(batch)
        self._remedy(batch)
        self._place(batch)
        self._drop_old(batch)
        self._follow_services(batch)
        return batch

    def _judge(self, item, batch):
        """Take in a side's reports."""
        verdict = reconcile.Verdict()
        name = item.link.name
        # One that waited here while its connection ended does not speak for
        # the side on the next, which may have started again.
        present = item.connection == item.link.view.connection
        if item.message.whole and present:
            missing = reconcile.find_missing(
                self._state,
                name,
                item.message.reports,
                self.preparation.list_begun(name),
            )
            self._owed[name] = [(task.id, task.attempt) for task in missing]
            item.link.view.reported = True
            self.pressure.note_lost(name)
        for report in item.message.reports:
            self._note_health(name, report)
            if report.task in self._state.tasks:
                decisionlog.log_end(name, report)
            reconcile.judge_report(self._state, name, report, verdict)
            self._crashloops.take_report(name, report)
        batch.events.extend(verdict.events)
        decisionlog.log_successes(
            name, verdict.events, self.runtimes.find_measured
        )
        for event in verdict.events:
            if isinstance(event, events.TaskEnded):
                self._note_ended(event, batch)
            elif isinstance(event, events.TaskRequeued):
                self._break_gang(event, batch)
        for command in verdict.commands:
            batch.send(item.link, command)
        if verdict.forget:
            batch.send(item.link, messages.ForgetTasks(verdict.forget))

    def _catch_up(self, batch):
        """Send what a side did not list, once it has a grant to begin it."""
        for name, rows in list(self._owed.items()):
            link = self._members.get_link(name)
            if link is None or not link.view.reported:
                del self._owed[name]
                continue
            if not link.view.granted:
                continue
            del self._owed[name]
            for task_id, attempt in rows:
                task = self._find_due(name, task_id)
                if task is not None and task.attempt == attempt:
                    ticket = self._find_ticket(task.id, link.view.life)
                    command = reconcile.make_catch_up(
                        self._state, task, ticket, self.runtimes
                    )
                    batch.send(link, command)

    def _note_saved(self, batch):
        """Log what running tasks have saved, for when their VM is lost."""
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
                    self._add(batch, event)

    def _note_measured(self):
        """Learn how long tasks run from what sides have measured."""
        for link in self._members.list_links():
            measured = link.view.measured
            while measured:
                one = measured.popleft()
                record = self._state.find_workload(one.task)
                if record is None or not record.workload.job:
                    continue
                queue = self._state.jobs[record.workload.job].job.queue
                self.runtimes.note(queue, record, one.run_ms)

    def _find_due(self, vm, task_id):
        """Return a task that a VM holds, or has prepared, or None."""
        held = self._state.held[vm].get(task_id)
        return held or self._state.prepared[vm].get(task_id)

    def _find_ticket(self, task_id, life):
        """Return the policy's ticket for a task and a worker, or ''."""
        if self._advisor is None:
            return ''
        return self._advisor.find_ticket(ids.split_task_id(task_id), life)

    def _note_ended(self, event, batch):
        """Follow up a task that is over, when it is part of a job."""
        name = self._state.find_workload(event.task).workload.job
        if not name:
            return
        job = self._state.jobs[name]
        if event.state == data.TaskState.FAILED and not job.cancelled:
            self._add(batch, events.JobCancelled(name))
            for task in job_operations.list_held(self._state, job):
                command = reconcile.make_stop(self._state, task, False)
                batch.send(self._members.get_link(task.vm), command)
        ended = self._state.find_job_state(name)
        if ended in data.ENDED_JOB_STATES:
            if name not in self.unlogged:
                now_ms = self._env.clock.read_unix_ms()
                decisionlog.log_job_end(job, ended, now_ms)
            self.unlogged.add(name)
            batch.effects.append(lambda: self.unlogged.discard(name))

    def _break_gang(self, event, batch):
        """Stop the other members when one of a gang is over.

        They can do nothing without it, and all begin again together.
        """
        record = self._state.find_workload(event.task)
        if not record.workload.gang or record.cancelled:
            return
        now_ms = self._env.clock.read_unix_ms()
        for task in gangs.list_broken(record):
            self._evict(task, planning.REASON_BROKEN, now_ms, batch)

    def _learn(self, item):
        """Learn from what a side has measured."""
        targets = self._env.keeper.read().targets
        now = self._env.clock.read_monotonic()
        self.pressure.note_measures(item.vm, item.measures, targets, now)

    def _note_health(self, vm, report):
        """Learn from an ended attempt whether its worker is sound."""
        task = self._state.tasks.get(report.task)
        if task is None or (task.vm, task.attempt) != (vm, report.attempt):
            return
        record = self._state.find_workload(task.id)
        workload = record.id
        now = self._env.clock.read_monotonic()
        if report.state == data.RunState.SUCCEEDED:
            self._health.note_success(vm)
        elif report.state == data.RunState.FAILED or report.at_worker:
            job = record.workload.job
            if self._health.note_failure(vm, workload, now, job):
                LOG.warning('quarantined', extra=logs.fields(vm=vm))
        elif report.reason in _SOUND_REFUSALS:
            # Nothing against its VM: no grant yet, or a closed zone.
            return
        elif report.state == data.RunState.REFUSED:
            self._health.note_refusal(vm, workload, now)

    def _carry_out(self, item, batch):
        """Carry out an operator's changing call, if it still waits."""
        if not item.fut.set_running_or_notify_cancel():
            return
        now_ms = self._env.clock.read_unix_ms()
        if item.method == 'submit':
            if self._capacities is None:
                self._capacities = self._members.view_vms()
            step = operations.submit(
                self._state,
                item.arguments,
                self._capacities,
                self._env.shard,
                now_ms,
            )
        elif item.method == 'submit-job':
            step = job_operations.submit_job(
                self._state, item.arguments, now_ms
            )
            decisionlog.log_submission(step, item.arguments.job)
        elif item.method == 'cancel-job':
            step = job_operations.cancel_job(self._state, item.arguments.id)
        elif item.method == 'change':
            step = operations.change(self._state, item.arguments)
        else:
            step = operations.cancel(self._state, item.arguments)
        if step.is_err():
            batch.answer(item.fut, step.err_value)
            return
        batch.events.extend(step.ok_value.events)
        for task in step.ok_value.stop:
            command = reconcile.make_stop(self._state, task, False)
            batch.send(self._members.get_link(task.vm), command)
        batch.answer(item.fut, step.ok_value.answer)

    def _change_members(self, batch):
        """Change the member list by one VM, if the VM list says so."""
        event = self._members.take_change(self._env.clock.read_monotonic())
        if event is not None:
            self._add(batch, event)
            self._grants.set_members(self._state.members)

    def _requeue_lost(self, batch):
        """Queue the tasks of VMs that are lost again, once that is safe."""
        now = self._env.clock.read_monotonic()
        now_ms = self._env.clock.read_unix_ms()
        for name in list(self._state.held):
            held = list(self._state.held[name].values())
            if not held or not self._is_lost(name, now):
                continue
            safe = self._grants.may_replace(name, now)
            for task in held:
                workload = self._state.find_workload(task.id).workload
                if workload.exclusive and not safe:
                    continue
                event = events.TaskRequeued(task.id, task.attempt)
                decisionlog.log_loss(task, name)
                self._add(batch, event)
                decision = planning.explain_loss(task, name, now_ms)
                self._add(batch, events.DecisionMade(decision))
                self._break_gang(event, batch)

    def _is_lost(self, name, now):
        """Tell whether a VM is silent, or as good as that.

        A side that has just started is heard long before it tells what its
        worker runs. One that never does, and gets no grant, keeps nothing
        alive: its tasks must not wait for it.
        """
        if self._members.is_silent(name, now):
            return True
        untold = not self._members.has_reported(name)
        return untold and self._grants.may_replace(name, now)

    def _empty_leaving(self, batch):
        """Move tasks away from VMs that the platform will take away."""
        now_ms = self._env.clock.read_unix_ms()
        for link in self._members.list_links():
            if not self._members.is_leaving(link.name):
                continue
            for task in list(self._state.held[link.name].values()):
                if task.state == data.TaskState.PLACED:
                    reason = planning.REASON_LEAVING
                    self._evict(task, reason, now_ms, batch)

    def _remedy(self, batch):
        """Relieve services that are at risk."""
        now = self._env.clock.read_monotonic()
        weights = self._env.keeper.read().weights
        self.pressure.remedies.set_weights(weights)
        self.pressure.forget_ended()
        self.pressure.note_running(now)
        for action in self.pressure.find_actions(now):
            self._act(action, batch)

    def _act(self, action, batch):
        """Throttle, release or evict one task."""
        task = self._state.tasks[action.task]
        now_ms = self._env.clock.read_unix_ms()
        if not action.percent:
            self._evict(task, action.reason, now_ms, batch)
            return
        decision = planning.explain_throttling(task, action, now_ms)
        self._add(batch, events.DecisionMade(decision))
        batch.send(
            self._members.get_link(task.vm),
            messages.ThrottleTask(
                self._state.epoch, task.id, task.attempt, action.percent
            ),
        )

    def _evict(self, task, reason, now_ms, batch):
        """Have an attempt saved and stopped, to run again elsewhere."""
        self._add(batch, events.TaskEvicting(task.id, task.attempt))
        decisionlog.log_eviction(task, reason)
        decision = planning.explain_eviction(task, reason, now_ms)
        self._add(batch, events.DecisionMade(decision))
        command = reconcile.make_stop(self._state, task, True)
        batch.send(self._members.get_link(task.vm), command)

    def _place(self, batch):
        """Place waiting tasks."""
        now = self._env.clock.read_monotonic()
        if not self._may_place(now):
            return
        views = self._members.view_vms()
        self._crashloops.mark_unsteady(views)
        self._resolve_prepared(batch, views, now)
        if not self._members.knows_zones(now):
            # What was prepared may begin in an outage, as far as its side
            # knows of no closed zone; nothing else does.
            return
        quotas = self._env.keeper.read().quotas
        demands = self._list_demands(now)
        if self._advisor is not None:
            policy.find_tickets(self._advisor, demands, views)
        now_ms = self._env.clock.read_unix_ms()
        done = planning.plan(
            self._state,
            demands,
            views,
            quotas,
            now_ms,
            self.pressure.remedies.judge,
        )
        self.waiting = {one.record.id: one for one in done.waiting}
        self._patience.note(self.waiting, now)
        self._waits.note(self.waiting, now)
        decisionlog.log_placements(done.placements)
        for placed in done.placements:
            event = events.TaskPlaced(placed.task, placed.attempt, placed.vm)
            self._add(batch, event)
            self._add(batch, events.DecisionMade(placed.decision))
            self._health.note_placed(placed.vm, now)
            task = self._state.tasks[placed.task]
            self._crashloops.note_placed(task)
            self.pressure.note_begun((task.id, task.attempt), now)
            command = reconcile.make_start(
                self._state, task, placed.ticket, self.runtimes
            )
            batch.send(self._members.get_link(placed.vm), command)
        self._rehome(views, now, batch)
        self._make_room(done, views, quotas, batch)
        self._prepare(done, batch)
        metrics.PLACEMENTS.inc(len(done.placements))

    def _rehome(self, views, now, batch):
        """Move filling tasks that hardly work to where they would."""
        now_ms = self._env.clock.read_unix_ms()
        weigher = precedence.Weigher(self._state, now_ms, self.runtimes)
        links = self._members.list_links()
        stuck = rehoming.find_stuck(
            self._state, links, self.pressure.read_begun, now, weigher
        )
        for task in rehoming.choose_moves(stuck, views):
            self._shunned.note(task.id, task.vm, now)
            self._evict(task, rehoming.REASON_STUCK, now_ms, batch)

    def _list_demands(self, now):
        demands = planning.list_demands(
            self._state,
            lambda workload: self._health.list_avoided(workload, now),
            self._env.clock.read_unix_ms(),
            self.runtimes,
        )
        shunned = self._shunned.find(now)
        held = self._crashloops.list_held()
        for demand in demands:
            demand.shunned = shunned
            demand.held = held
        self._patience.apply(demands, now)
        return demands

    def _make_room(self, done, views, quotas, batch):
        """Evict what has to give way to work that still waits."""
        if not done.waiting or self._is_evicting():
            return
        now = self._env.clock.read_monotonic()
        over = planning.find_over_quota(self._state, quotas)
        for action in self.pressure.find_room(done.ordered, views, over, now):
            self._act(action, batch)

    def _is_evicting(self):
        """Tell whether room is being made already."""
        return any(
            task.state == data.TaskState.EVICTING
            for held in self._state.held.values()
            for task in held.values()
        )

    def _may_place(self, now):
        return self._grants.may_grant(now) and self._members.has_settled(now)

    def _resolve_prepared(self, batch, views, now):
        """Place prepared tasks that there is room for now.

        That they belong to their VM is in the log already, so that they
        are begun without waiting for the next append.
        """
        resolved = self.preparation.resolve(
            views,
            lambda vm: self._is_lost(vm, now),
            lambda vm: self._grants.may_replace(vm, now),
        )
        for event in resolved:
            self._add(batch, event)
            if isinstance(event, events.TaskPlaced):
                task = self._state.tasks[event.task]
                command = reconcile.make_start(self._state, task)
                link = self._members.get_link(event.vm)
                batch.send_early(link, command)

    def _prepare(self, done, batch):
        """Commit some starts ahead, for an outage of the store."""
        if not done.waiting:
            return
        views = self._members.view_vms()
        for event in self.preparation.choose(done.ordered, views):
            self._add(batch, event)

    def _follow_services(self, batch):
        """Change the roster when services run elsewhere."""
        now = self._env.clock.read_monotonic()
        if not self._may_place(now):
            return
        event, news = self.rosters.follow(
            self._members.view_vms(),
            self._env.clock.read_unix_ms(),
            lambda vm: self._grants.has_lapsed(vm, now),
        )
        if event is not None:
            self._add(batch, event)
        if news:
            batch.effects.append(
                lambda: self._members.announce(self.rosters.make_update())
            )

    def _drop_old(self, batch):
        """Drop workloads that ended long ago, now and then."""
        now = self._env.clock.read_monotonic()
        if now < self._next_drop:
            return
        self._next_drop = now + _DROP_SECONDS
        now_ms = self._env.clock.read_unix_ms()
        for workload_id in planning.find_old(self._state, now_ms):
            self._add(batch, events.WorkloadDropped(workload_id))
            self._health.drop_workload(workload_id)
        for job_id in planning.find_old_jobs(self._state, now_ms):
            self._add(batch, events.JobDropped(job_id))
        self.runtimes.forget(self._state.unended)

    def _add(self, batch, event):
        self._state.apply(event)
        batch.events.append(event)

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The owner of a shard: the one process that decides for its VMs.

One thread decides. It takes what has come in (reports, operators' calls),
works out the events, appends them to the log as one entry, and only then
sends commands and answers: nobody hears of anything that a later owner
would not know. While the store does not answer it waits with the same
append; connections, grants and reads go on in their own threads, and new
submissions are refused at once.
"""

import concurrent.futures
import dataclasses
import enum
import logging
import queue
import random
import threading

import result

from portwharf.core import codec
from portwharf.core import data
from portwharf.core import logs
from portwharf.peers import messages
from portwharf.scheduler import configuration
from portwharf.scheduler import events
from portwharf.scheduler import grants
from portwharf.scheduler import health
from portwharf.scheduler import members
from portwharf.scheduler import membership
from portwharf.scheduler import metrics
from portwharf.scheduler import operations
from portwharf.scheduler import planning
from portwharf.scheduler import preparing
from portwharf.scheduler import pressure
from portwharf.scheduler import reconcile
from portwharf.scheduler import rosters
from portwharf.scheduler import shardlog

LOG = logging.getLogger(__name__)

# Items taken into one pass, so that an entry stays under the store's limit.
MAX_ITEMS = 400
# Events of one log entry.
MAX_ENTRY_EVENTS = 1000
SNAPSHOT_ENTRIES = 300
STALL_SECONDS = 2.0
OPERATION_SECONDS = 8.0
_TICK_SECONDS = 0.5
_DROP_SECONDS = 20.0
_RETRY_SECONDS = 0.2
_MAX_RETRY_SECONDS = 3.0
_MS = 1000

READS = {
    'list-workloads': operations.Query,
    'list-tasks': operations.Query,
    'explain': operations.Query,
    'status': operations.Query,
}
WRITES = {
    'submit': operations.Submission,
    'change': operations.Change,
    'cancel': operations.Query,
}


class Step(enum.Enum):
    """What became of one step of the deciding thread."""

    DONE = 1
    # The store has not confirmed the append; the next step tries again.
    STALLED = 2
    DEPOSED = 3


@dataclasses.dataclass(slots=True)
class Environment:
    """What an owner works with.

    :param name: the VM that the owner runs on
    :param dial: function of a ``data.Vm`` giving a connection
    :param keeper: the configuration in force (``ConfigKeeper``)
    :param append_interval: least seconds between two appends
    :param make_link: gives the link to a member, by its VM and the owner
    :param kv: the store, for the configuration
    """

    name: str = ''
    instance: str = ''
    shard: int = 0
    clock: object = None
    limits: object = None
    dial: object = None
    vmlist: object = None
    keeper: object = None
    append_interval: float = 0.05
    make_link: object = members.MemberLink
    kv: object = None


@dataclasses.dataclass(slots=True)
class Reported:
    """A side's reports, waiting to be judged."""

    link: object = None
    message: object = None


@dataclasses.dataclass(slots=True)
class Measured:
    """What a side measured of its services, waiting to be learnt from."""

    vm: str = ''
    measures: list = None


@dataclasses.dataclass(slots=True)
class Called:
    """An operator's changing call, waiting to be carried out."""

    fut: object = None
    method: str = ''
    arguments: object = None


class _Batch:
    """Events of one pass and what is done once they are logged."""

    def __init__(self):
        self.events = []
        self.early = []
        self.effects = []

    def send_early(self, link, message):
        """Send a message that earlier entries of the log allow already."""
        if link is not None:
            self.early.append(lambda: link.send(message))

    def send(self, link, message):
        """Send a message after the events are logged."""
        if link is not None:
            self.effects.append(lambda: link.send(message))

    def answer(self, fut, value):
        """Answer an operator after the events are logged."""
        self.effects.append(lambda: fut.set_result(value))


class Owner:
    """The owner role; a context manager that ends it."""

    def __init__(self, env, log, state):
        """Take over with a state whose last event made us the owner."""
        self._env = env
        self._log = log
        self._state = state
        self._lock = threading.RLock()
        self._inbox = queue.SimpleQueue()
        self._waiting = {}
        self._stop = threading.Event()
        self._lost = False
        self._suspect = threading.Event()
        self._batch = None
        self._pending_since = None
        self._next_append = 0.0
        self._next_check = 0.0
        self._next_drop = 0.0
        self._snapshot_seq = log.next_seq
        self._health = health.Health()
        self._grants = grants.GrantTable(state.members, env.limits)
        began = env.clock.read_monotonic()
        self._pressure = pressure.Pressure(state, began)
        self._members = membership.Membership(
            env, state, self._grants, self._health, self._pressure
        )
        self._preparation = preparing.Preparation(state)
        self._rosters = rosters.RosterKeeper(state)
        # Items that came in while an append was stalled.
        self._deferred = []
        self._config = configuration.ConfigWatcher(env.kv, env.keeper)
        self.deposed = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='owner', daemon=True
        )

    def __enter__(self):
        self._members.sync_links(self)
        self._thread.start()
        self._config.__enter__()
        return self

    def __exit__(self, *exc_info):
        """End the role, handing it over if it is still ours."""
        self._stop.set()
        self._config.__exit__()
        self._inbox.put(None)
        self._thread.join()
        if not self._lost and self._batch is None:
            self.resign()
        self._members.close()

    @property
    def epoch(self):
        """The epoch that this owner owns the shard under."""
        return self._state.epoch

    @property
    def stalled(self):
        """Whether an append is under way that has to be tried again."""
        return self._batch is not None

    def list_links(self):
        """Return the links to the members."""
        return self._members.list_links()

    def resign(self):
        """Tell the members that we stop, and who should follow.

        Called when the deciding thread has ended or is the caller, with no
        append under way.
        """
        now = self.read_clock()
        message = self._members.make_resignation(self.epoch, now)
        self._members.announce(message)
        LOG.info('resigned to %s', message.successor, extra=self._extra())

    # What the members' links call, each from its own thread.

    def dial(self, vm):
        """Connect to a member."""
        return self._env.dial(vm)

    def read_clock(self):
        """Return the owner's monotonic clock, in seconds."""
        return self._env.clock.read_monotonic()

    def make_hello(self):
        """Return the greeting of this owner."""
        return messages.Hello(
            role='owner',
            name=self._env.name,
            instance=self._env.instance,
            shard=self._env.shard,
            epoch=self.epoch,
        )

    def make_config(self):
        """Return the configuration in force, for a side."""
        return self._env.keeper.make_update()

    def make_grant(self, member, side_ms):
        """Return the answer to a heartbeat.

        :param side_ms: the heartbeat's time, or 0 if there was none
        """
        now = self.read_clock()
        valid = side_ms > 0 and not self.deposed.is_set()
        valid = valid and self._grants.grant(member, now)
        return messages.Grant(side_ms, int(now * _MS), self.epoch, valid)

    def make_rosters(self):
        """Return the rosters, for a side."""
        return self._rosters.make_update()

    def record_ack(self, member, beat):
        """Count a heartbeat that acknowledges our epoch."""
        if beat.epoch == self.epoch:
            self._rosters.note_ack(member, beat.roster_seq)
        if beat.epoch == self.epoch and beat.owner_ms:
            now = self.read_clock()
            self._grants.record_ack(member, beat.owner_ms / _MS, now)

    def tell_config(self):
        """Pass the configuration in force down to the sides."""
        self._members.announce(self.make_config())

    def note_epoch(self, epoch):
        """Look at the log if a member knows a higher epoch than ours."""
        if epoch > self.epoch:
            self._suspect.set()

    def take_reports(self, link, message):
        """Queue a side's reports."""
        self._inbox.put(Reported(link, message))

    def take_measures(self, vm, measures):
        """Queue what a side measured of its services."""
        self._inbox.put(Measured(vm, measures))

    # What entries call, each from its connection's thread.

    def operate(self, operation):
        """Carry out an operator's call.

        :returns: a ``messages.OperationResult``
        """
        method = operation.method
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
            views = self._members.view_vms()
            if method == 'list-workloads':
                listed = operations.list_workloads(self._state, query, views)
                return result.Ok(listed)
            if method == 'list-tasks':
                return operations.list_tasks(self._state, query)
            if method == 'explain':
                now_ms = self._env.clock.read_unix_ms()
                return operations.explain(
                    self._state, query, self._waiting, now_ms
                )
            return result.Ok(self._report_shard(views))

    def _write(self, method, call):
        """Have a changing call carried out and wait until it is logged.

        :returns: Ok(a plain class of ``operations``), or Err(Problem)
        """
        if self.deposed.is_set() or self._is_stalled():
            return result.Err(_describe_stall())
        called = Called(concurrent.futures.Future(), method, call)
        self.take_call(called)
        try:
            answer = called.fut.result(OPERATION_SECONDS)
        except concurrent.futures.TimeoutError:
            if called.fut.cancel():
                return result.Err(_describe_stall())
            return result.Err(_describe_unknown())
        if isinstance(answer, data.Problem):
            return result.Err(answer)
        return result.Ok(answer)

    def take_call(self, called):
        """Queue an operator's changing call."""
        self._inbox.put(called)

    # The deciding thread.

    def _run(self):
        LOG.info('owner begins', extra=self._extra())
        wait = _RETRY_SECONDS
        try:
            while not self._stop.is_set():
                step = self.step(self._wait_for_items())
                if step is Step.DEPOSED:
                    self._lost = True
                    break
                if step is Step.DONE:
                    wait = _RETRY_SECONDS
                    continue
                self.serve_stalled()
                self._stop.wait(wait * random.uniform(0.5, 1.0))
                wait = min(2 * wait, _MAX_RETRY_SECONDS)
        finally:
            self.deposed.set()
            self._refuse_inbox()
            LOG.info('owner ends', extra=self._extra())

    def _wait_for_items(self):
        """Return what has come in, waiting a tick for the first."""
        if self._batch is not None:
            return []
        items = []
        try:
            items.append(self._inbox.get(timeout=_TICK_SECONDS))
        except queue.Empty:
            return items
        wait = self._next_append - self.read_clock()
        if wait > 0:
            self._stop.wait(wait)
        return items + self.take_items()

    def take_items(self):
        """Return what has come in, without waiting."""
        items = []
        while len(items) < MAX_ITEMS and not self._inbox.empty():
            items.append(self._inbox.get())
        return items

    def step(self, items=()):
        """Decide on what has come in, log it, then act.

        An append that has stalled is tried again before anything new is
        decided; ``items`` must be empty then. Called by the deciding
        thread alone, or by a test in its place.

        :returns: a :class:`Step`
        """
        if self._batch is None:
            if not self._confirm():
                self.deposed.set()
                return Step.DEPOSED
            self._members.sync_links(self)
            self._batch = self._decide(items)
            for effect in self._batch.early:
                effect()
        step = self._commit()
        if step is Step.DEPOSED:
            self.deposed.set()
        if step is Step.DONE:
            batch, self._batch = self._batch, None
            for effect in batch.effects:
                effect()
            self._snapshot()
        return step

    def serve_stalled(self):
        """Go on as far as that needs no append, while one is stalled."""
        items = self.take_items()
        self._deferred.extend(item for item in items if item is not None)
        for item in items:
            if isinstance(item, Reported):
                starts = self._preparation.note_stalled(
                    item.link.name, item.message.reports
                )
                for start in starts:
                    item.link.send(start)

    def _decide(self, items):
        """Work out events and what is done after them."""
        batch = _Batch()
        items = [*self._deferred, *items]
        self._deferred = []
        with self._lock:
            for item in items:
                if isinstance(item, Reported):
                    self._judge(item, batch)
                elif isinstance(item, Measured):
                    self._learn(item)
                elif item is not None:
                    self._carry_out(item, batch)
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
        if item.message.whole:
            missing = reconcile.find_missing(
                self._state, name, item.message.reports
            )
            for task in missing:
                command = reconcile.make_start(self._state, task)
                verdict.commands.append(command)
            item.link.view.reported = True
        for report in item.message.reports:
            self._note_health(name, report)
            reconcile.judge_report(self._state, name, report, verdict)
        batch.events.extend(verdict.events)
        for command in verdict.commands:
            batch.send(item.link, command)
        if verdict.forget:
            batch.send(item.link, messages.ForgetTasks(verdict.forget))

    def _learn(self, item):
        """Learn from what a side has measured."""
        targets = self._env.keeper.read().targets
        now = self.read_clock()
        self._pressure.note_measures(item.vm, item.measures, targets, now)

    def _note_health(self, vm, report):
        """Learn from an ended attempt whether its worker is sound."""
        task = self._state.tasks.get(report.task)
        if task is None or (task.vm, task.attempt) != (vm, report.attempt):
            return
        workload = self._state.find_workload(task.id).id
        now = self.read_clock()
        if report.state == data.RunState.SUCCEEDED:
            self._health.note_success(vm)
        elif report.state == data.RunState.FAILED or report.at_worker:
            if self._health.note_failure(vm, workload, now):
                LOG.warning('quarantined', extra=logs.fields(vm=vm))
        elif report.state == data.RunState.REFUSED:
            self._health.note_refusal(vm, workload, now)

    def _carry_out(self, item, batch):
        """Carry out an operator's changing call, if it still waits."""
        if not item.fut.set_running_or_notify_cancel():
            return
        now_ms = self._env.clock.read_unix_ms()
        if item.method == 'submit':
            views = self._members.view_vms()
            step = operations.submit(
                self._state, item.arguments, views, self._env.shard, now_ms
            )
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
        event = self._members.follow_vm_list(self.read_clock())
        if event is not None:
            self._add(batch, event)
            self._grants.set_members(self._state.members)

    def _requeue_lost(self, batch):
        """Queue the tasks of silent VMs again, once that is safe."""
        now = self.read_clock()
        now_ms = self._env.clock.read_unix_ms()
        for name in list(self._state.held):
            held = list(self._state.held[name].values())
            if not held or not self._members.is_silent(name, now):
                continue
            safe = self._grants.may_replace(name, now)
            for task in held:
                workload = self._state.find_workload(task.id).workload
                if workload.exclusive and not safe:
                    continue
                event = events.TaskRequeued(task.id, task.attempt)
                self._add(batch, event)
                decision = planning.explain_loss(task, name, now_ms)
                self._add(batch, events.DecisionMade(decision))

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
        now = self.read_clock()
        weights = self._env.keeper.read().weights
        self._pressure.remedies.set_weights(weights)
        self._pressure.forget_ended()
        self._pressure.note_running(now)
        for action in self._pressure.find_actions(now):
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
                self.epoch, task.id, task.attempt, action.percent
            ),
        )

    def _evict(self, task, reason, now_ms, batch):
        """Have an attempt saved and stopped, to run again elsewhere."""
        self._add(batch, events.TaskEvicting(task.id, task.attempt))
        decision = planning.explain_eviction(task, reason, now_ms)
        self._add(batch, events.DecisionMade(decision))
        command = reconcile.make_stop(self._state, task, True)
        batch.send(self._members.get_link(task.vm), command)

    def _place(self, batch):
        """Place waiting tasks."""
        now = self.read_clock()
        if not self._may_place(now):
            return
        views = self._members.view_vms()
        self._resolve_prepared(batch, views, now)
        quotas = self._env.keeper.read().quotas
        demands = self._list_demands(now)
        now_ms = self._env.clock.read_unix_ms()
        done = planning.plan(
            self._state,
            demands,
            views,
            quotas,
            now_ms,
            self._pressure.remedies.judge,
        )
        self._waiting = {one.record.id: one for one in done.waiting}
        for placed in done.placements:
            event = events.TaskPlaced(placed.task, placed.attempt, placed.vm)
            self._add(batch, event)
            self._add(batch, events.DecisionMade(placed.decision))
            task = self._state.tasks[placed.task]
            self._pressure.note_begun((task.id, task.attempt), now)
            command = reconcile.make_start(self._state, task)
            batch.send(self._members.get_link(placed.vm), command)
        self._make_room(done, views, quotas, batch)
        self._prepare(done, batch)
        metrics.PLACEMENTS.inc(len(done.placements))

    def _list_demands(self, now):
        return planning.list_demands(
            self._state,
            lambda workload: self._health.list_avoided(workload, now),
        )

    def _make_room(self, done, views, quotas, batch):
        """Evict what has to give way to work that still waits."""
        if not done.waiting or self._is_evicting():
            return
        now = self.read_clock()
        over = planning.find_over_quota(self._state, quotas)
        for action in self._pressure.find_room(done.ordered, views, over, now):
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
        resolved = self._preparation.resolve(
            views,
            lambda vm: self._members.is_silent(vm, now),
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
        for event in self._preparation.choose(done.ordered, views):
            self._add(batch, event)

    def _follow_services(self, batch):
        """Change the roster when services run elsewhere."""
        now = self.read_clock()
        if not self._may_place(now):
            return
        event, news = self._rosters.follow(
            self._members.view_vms(),
            self._env.clock.read_unix_ms(),
            lambda vm: self._grants.has_lapsed(vm, now),
        )
        if event is not None:
            self._add(batch, event)
        if news:
            batch.effects.append(
                lambda: self._members.announce(self.make_rosters())
            )

    def _drop_old(self, batch):
        """Drop workloads that ended long ago, now and then."""
        now = self.read_clock()
        if now < self._next_drop:
            return
        self._next_drop = now + _DROP_SECONDS
        now_ms = self._env.clock.read_unix_ms()
        for workload_id in planning.find_old(self._state, now_ms):
            self._add(batch, events.WorkloadDropped(workload_id))
            self._health.drop_workload(workload_id)

    def _add(self, batch, event):
        self._state.apply(event)
        batch.events.append(event)

    def _report_shard(self, views):
        """Return what operators see of the shard."""
        report = operations.ShardReport(
            self._env.shard,
            self._env.name,
            self.epoch,
            self._log.next_seq,
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

    # The log.

    def _confirm(self):
        """Ask the store whether we still own the shard, when needed.

        :returns: False when we do not
        """
        now = self.read_clock()
        asked = self._suspect.is_set()
        if not asked and self._grants.has_majority(now):
            return True
        if not asked and now < self._next_check:
            return True
        self._next_check = now + self._env.limits.confirm / 3
        answer = self._log.check_head()
        if answer.is_err():
            return True
        self._suspect.clear()
        if answer.ok_value:
            self._grants.record_store(now)
            return True
        LOG.warning('deposed, by the log', extra=self._extra())
        return False

    def _commit(self):
        """Append the batch's events, as many entries as they need."""
        rest = self._batch.events
        while rest:
            piece = rest[:MAX_ENTRY_EVENTS]
            step = self._append(piece)
            if step is not Step.DONE:
                return step
            del rest[: len(piece)]
        return Step.DONE

    def _append(self, piece):
        sent = self.read_clock()
        self._pending_since = self._pending_since or sent
        answer = self._log.append(piece)
        metrics.APPENDS.inc()
        if answer.is_ok():
            self._pending_since = None
            self._preparation.note_confirmed()
            self._grants.record_store(sent)
            self._next_append = sent + self._env.append_interval
            return Step.DONE
        error = answer.err_value
        if isinstance(error, shardlog.Deposed):
            LOG.warning('deposed, by an append', extra=self._extra())
            return Step.DEPOSED
        LOG.warning('append stalled: %s', error.text, extra=self._extra())
        return Step.STALLED

    def _snapshot(self):
        """Write a snapshot now and then."""
        if self._log.next_seq - self._snapshot_seq < SNAPSHOT_ENTRIES:
            return
        self._snapshot_seq = self._log.next_seq
        with self._lock:
            raw = self._state.pack()
        written = self._log.write_snapshot(raw)
        if written.is_err():
            LOG.warning('no snapshot: %s', written.err_value)

    def _is_stalled(self):
        since = self._pending_since
        return since is not None and (
            self.read_clock() - since > STALL_SECONDS
        )

    def _refuse_inbox(self):
        """Answer the calls that will not be carried out any more."""
        for item in [*self._deferred, *self.take_items()]:
            if isinstance(item, Called):
                if item.fut.set_running_or_notify_cancel():
                    item.fut.set_result(_describe_stall())

    def _extra(self):
        return logs.fields(shard=self._env.shard, epoch=self.epoch)


def _answer(operation, value):
    return messages.OperationResult(operation.id, 'ok', codec.pack(value))


def _refuse(operation, problem):
    status = 'unknown' if problem.code == 'outcome-unknown' else 'refused'
    return messages.OperationResult(operation.id, status, problems=[problem])


def _describe_stall():
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

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
from portwharf.scheduler import members
from portwharf.scheduler import operations
from portwharf.scheduler import placement
from portwharf.scheduler import planning
from portwharf.scheduler import reconcile
from portwharf.scheduler import shardlog

LOG = logging.getLogger(__name__)

# Events of one log entry, so that an entry stays under the store's limit.
MAX_BATCH = 400
SNAPSHOT_ENTRIES = 300
STALL_SECONDS = 2.0
# What a new owner gives its members at the most to report.
SETTLE_SECONDS = 2.0
OPERATION_SECONDS = 8.0
_TICK_SECONDS = 0.25
_RETRY_SECONDS = 0.2
_MAX_RETRY_SECONDS = 3.0
_VMLIST_SECONDS = 5.0
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
class _Reported:
    """A side's reports, waiting to be judged."""

    link: object = None
    message: object = None


@dataclasses.dataclass(slots=True)
class _Called:
    """An operator's changing call, waiting to be carried out."""

    fut: object = None
    method: str = ''
    arguments: object = None


class _Batch:
    """Events of one pass and what is done once they are logged."""

    def __init__(self):
        self.events = []
        self.effects = []

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
        self._links = {}
        self._waiting = {}
        self._stop = threading.Event()
        self._suspect = threading.Event()
        self._pending_since = None
        self._next_append = 0.0
        self._snapshot_seq = log.next_seq
        self._listed = []
        self._listed_at = {}
        self._next_listing = 0.0
        self._next_check = 0.0
        self._began = env.clock.read_monotonic()
        self._grants = grants.GrantTable(state.members, env.limits)
        self._config = configuration.ConfigWatcher(env.kv, env.keeper)
        self.deposed = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='owner', daemon=True
        )

    def __enter__(self):
        self._sync_links()
        self._thread.start()
        self._config.__enter__()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        self._config.__exit__()
        self._inbox.put(None)
        self._thread.join()
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.__exit__(None, None, None)

    @property
    def epoch(self):
        """The epoch that this owner owns the shard under."""
        return self._state.epoch

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

    def record_ack(self, member, beat):
        """Count a heartbeat that acknowledges our epoch."""
        if beat.epoch == self.epoch and beat.owner_ms:
            now = self.read_clock()
            self._grants.record_ack(member, beat.owner_ms / _MS, now)

    def tell_config(self):
        """Pass the configuration in force down to the sides."""
        update = self.make_config()
        for link in list(self._links.values()):
            link.send(update)

    def note_epoch(self, epoch):
        """Look at the log if a member knows a higher epoch than ours."""
        if epoch > self.epoch:
            self._suspect.set()

    def take_reports(self, link, message):
        """Queue a side's reports."""
        self._inbox.put(_Reported(link, message))

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
            views = self._view_vms()
            if method == 'list-workloads':
                listed = operations.list_workloads(self._state, query, views)
                return result.Ok(listed)
            if method == 'list-tasks':
                return operations.list_tasks(self._state, query)
            if method == 'explain':
                return operations.explain(self._state, query, self._waiting)
            return result.Ok(self._report_shard(views))

    def _write(self, method, call):
        """Have a changing call carried out and wait until it is logged.

        :returns: Ok(a plain class of ``operations``), or Err(Problem)
        """
        if self._is_stalled():
            return result.Err(_describe_stall())
        fut = concurrent.futures.Future()
        self._inbox.put(_Called(fut, method, call))
        try:
            answer = fut.result(OPERATION_SECONDS)
        except concurrent.futures.TimeoutError:
            if fut.cancel():
                return result.Err(_describe_stall())
            return result.Err(_describe_unknown())
        if isinstance(answer, data.Problem):
            return result.Err(answer)
        return result.Ok(answer)

    # The deciding thread.

    def _run(self):
        extra = logs.fields(shard=self._env.shard, epoch=self.epoch)
        LOG.info('owner begins', extra=extra)
        try:
            while not self._stop.is_set():
                if not self.step(self._take_inbox()):
                    break
        finally:
            self.deposed.set()
            self._refuse_inbox()
            LOG.info('owner ends', extra=extra)

    def _take_inbox(self):
        """Return what has come in, waiting a tick for the first."""
        items = []
        try:
            items.append(self._inbox.get(timeout=_TICK_SECONDS))
        except queue.Empty:
            return items
        wait = self._next_append - self.read_clock()
        if wait > 0:
            self._stop.wait(wait)
        while len(items) < MAX_BATCH and not self._inbox.empty():
            items.append(self._inbox.get())
        return [item for item in items if item is not None]

    def step(self, items=()):
        """Decide on what has come in, log it, then act.

        Called by the deciding thread alone, or by a test in its place.

        :returns: False when this process is no longer the owner
        """
        if not self._confirm():
            return False
        batch = _Batch()
        with self._lock:
            for item in items:
                self._handle(item, batch)
            self._follow_vm_list(batch)
            self._requeue_lost(batch)
            self._place(batch)
            self._drop_old(batch)
        if batch.events and not self._append(batch.events):
            return False
        for effect in batch.effects:
            effect()
        self._sync_links()
        self._snapshot()
        return True

    def _handle(self, item, batch):
        if isinstance(item, _Reported):
            self._judge(item, batch)
        else:
            self._carry_out(item, batch)

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
            reconcile.judge_report(self._state, name, report, verdict)
        batch.events.extend(verdict.events)
        for command in verdict.commands:
            batch.send(item.link, command)
        if verdict.forget:
            batch.send(item.link, messages.ForgetTasks(verdict.forget))

    def _carry_out(self, item, batch):
        """Carry out an operator's changing call, if it still waits."""
        if not item.fut.set_running_or_notify_cancel():
            return
        now_ms = self._env.clock.read_unix_ms()
        if item.method == 'submit':
            views = self._view_vms()
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
            batch.send(self._links.get(task.vm), command)
        batch.answer(item.fut, step.ok_value.answer)

    def _place(self, batch):
        """Place waiting tasks."""
        now = self.read_clock()
        views = self._view_vms()
        if not self._grants.may_grant(now) or not self._has_settled(now):
            return
        done = planning.plan(
            self._state,
            views,
            self._env.keeper.read().quotas,
            self._env.clock.read_unix_ms(),
        )
        self._waiting = {d.subject: d for d in done.waiting}
        for placed in done.placements:
            event = events.TaskPlaced(placed.task, placed.attempt, placed.vm)
            self._add(batch, event)
            self._add(batch, events.DecisionMade(placed.decision))
            task = self._state.tasks[placed.task]
            command = reconcile.make_start(self._state, task)
            batch.send(self._links.get(placed.vm), command)

    def _requeue_lost(self, batch):
        """Queue the tasks of silent VMs again, once that is safe."""
        now = self.read_clock()
        now_ms = self._env.clock.read_unix_ms()
        for name in list(self._state.held):
            if not self._state.held[name] or not self._is_silent(name, now):
                continue
            safe = self._grants.may_replace(name, now)
            for task in list(self._state.held[name].values()):
                workload = self._state.find_workload(task.id).workload
                if workload.exclusive and not safe:
                    continue
                event = events.TaskRequeued(task.id, task.attempt)
                self._add(batch, event)
                decision = planning.explain_loss(task, name, now_ms)
                self._add(batch, events.DecisionMade(decision))

    def _drop_old(self, batch):
        """Drop workloads that ended long ago."""
        now_ms = self._env.clock.read_unix_ms()
        for workload_id in planning.find_old(self._state, now_ms):
            self._add(batch, events.WorkloadDropped(workload_id))

    def _add(self, batch, event):
        self._state.apply(event)
        batch.events.append(event)

    # Members.

    def _follow_vm_list(self, batch):
        """Change the member list by one VM, if the VM list says so."""
        now = self.read_clock()
        if now < self._next_listing:
            return
        self._next_listing = now + _VMLIST_SECONDS
        listed = self._env.vmlist.read()
        if listed.is_err() or not self._grants.has_majority(now):
            return
        ours = planning.pick_members(listed.ok_value, self._env.shard)
        self._listed = ours
        self._listed_at.update((vm.name, now) for vm in ours)
        event = self._find_member_change(ours, now)
        if event is not None:
            self._add(batch, event)
            self._grants.set_members(self._state.members)
            self._next_listing = now

    def _find_member_change(self, ours, now):
        for vm in ours:
            known = self._state.members.get(vm.name)
            if known is None or not planning.is_same_place(known, vm):
                return events.MemberAdded(vm)
        for name in self._state.members:
            seen = self._listed_at.setdefault(name, now)
            absent = now - seen >= self._env.limits.gone
            if absent and self._is_silent(name, now):
                if not self._state.held[name]:
                    return events.MemberRemoved(name)
        return None

    def _sync_links(self):
        """Have one link for each member."""
        with self._lock:
            wanted = dict(self._state.members)
            links = dict(self._links)
        for name, link in links.items():
            vm = wanted.get(name)
            if vm is None or not planning.is_same_place(link.view.vm, vm):
                del self._links[name]
                link.__exit__(None, None, None)
        for name, vm in wanted.items():
            if name not in self._links:
                link = self._env.make_link(vm, self)
                self._links[name] = link
                link.__enter__()

    def _has_settled(self, now):
        """Tell whether the members have had time to report.

        A new owner that placed at once would put everything on the VMs
        that happened to report first.
        """
        if now - self._began >= SETTLE_SECONDS:
            return True
        links = list(self._links.values())
        return all(link.view.granted for link in links)

    def _is_silent(self, name, now):
        link = self._links.get(name)
        if link is None or link.view.heard is None:
            return now - self._began >= self._env.limits.unreachable
        return now - link.view.heard >= self._env.limits.unreachable

    def _view_vms(self):
        """Return all members as placement sees them."""
        now = self.read_clock()
        leaving = {
            vm.name for vm in self._listed if vm.state != data.VmState.LIVE
        }
        views = []
        for name, link in self._links.items():
            view = placement.VmView(link.view.vm, link.view.capacity)
            view.reserved = self._state.reserved[name]
            if self._is_silent(name, now) or link.view.heard is None:
                view.closed = 'unreachable'
            elif not (link.view.reported and link.view.granted):
                view.closed = 'not-ready-yet'
            elif link.view.draining or name in leaving:
                view.closed = 'leaving'
            views.append(view)
        return views

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
        for view in views:
            name = view.vm.name
            report.vms.append(
                operations.VmReport(
                    view.vm,
                    view.closed or 'live',
                    view.capacity,
                    view.reserved,
                    len(self._state.held[name]),
                    self._links[name].view.config_revision,
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

    def _append(self, logged):
        """Append events, for as long as it takes.

        :returns: False when another process owns the shard
        """
        for at in range(0, len(logged), MAX_BATCH):
            if not self._append_piece(logged[at : at + MAX_BATCH]):
                return False
        return True

    def _append_piece(self, piece):
        wait = _RETRY_SECONDS
        self._pending_since = self.read_clock()
        while True:
            sent = self.read_clock()
            answer = self._log.append(piece)
            if answer.is_ok():
                break
            if isinstance(answer.err_value, shardlog.Deposed):
                LOG.warning('deposed, by an append', extra=self._extra())
                return False
            LOG.warning(
                'append stalled: %s',
                answer.err_value.text,
                extra=self._extra(),
            )
            if self._stop.wait(wait * random.uniform(0.5, 1.0)):
                return False
            wait = min(2 * wait, _MAX_RETRY_SECONDS)
        self._pending_since = None
        self._grants.record_store(sent)
        self._next_append = sent + self._env.append_interval
        return True

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
        while not self._inbox.empty():
            item = self._inbox.get()
            if isinstance(item, _Called):
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

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The owner of a shard: the one process that decides for the shard's VMs.

One thread makes all decisions. It takes the queued input (reports of sides and
calls of operators), computes the resulting events, appends them to the shard's
log as one entry, and only then sends commands and answers. Nothing is told to
anyone that a later owner would not find in the log. While decisions take long,
calls of operators do not wait for them: the queued input is then logged as an
entry of its own, and the other decisions of the pass follow. While the store
does not answer, the thread retries the same append; connections, grants and
reads go on in their own threads, and new submissions are refused at once.
"""

import logging
import queue
import random
import threading

from portwharf.core import logs
from portwharf.peers import messages
from portwharf.scheduler import batches
from portwharf.scheduler import configuration
from portwharf.scheduler import decider
from portwharf.scheduler.decisions import health
from portwharf.scheduler import grants
from portwharf.scheduler import interference_updates
from portwharf.scheduler import membership
from portwharf.scheduler import metrics
from portwharf.scheduler import operator_api
from portwharf.scheduler import pass_timing
from portwharf.scheduler import policy
from portwharf.scheduler import reconcile
from portwharf.scheduler import shardlog

LOG = logging.getLogger(__name__)

SNAPSHOT_ENTRIES = 300
# Once the decisions of a pass have taken longer, calls are answered before
# those of the next.
SLOW_DECISIONS_SECONDS = 0.1
# Changing calls are refused once an append has been pending this long. The
# slowest append that was seen with a working store took 0.4 s.
STALL_SECONDS = 0.5
# Once an append has been pending this long, another VM is asked to take over.
TAKEOVER_REQUEST_SECONDS = 0.8
# Interval of such requests while the closed zones cannot be read.
ZONES_REQUEST_SECONDS = 1.0
_TICK_SECONDS = 0.5
_RETRY_SECONDS = 0.2
_MAX_RETRY_SECONDS = 0.4
_MS_PER_SECOND = 1000


class Owner:
    """The owner role; a context manager that ends it on exit."""

    def __init__(self, env, log, state):
        """Start from a state whose last event made this process the owner.

        :param env: an ``environment.Environment``
        :param log: the ``shardlog.ShardLog``, read to its end
        :param state: the ``state.ShardState`` at that end
        """
        self._env = env
        self._log = log
        self._state = state
        self._lock = threading.RLock()
        self._inbox = queue.SimpleQueue()
        self._stop = threading.Event()
        self._lost_ownership = False
        self._check_requested = threading.Event()
        self._superseded = False
        self._takeover_requests = 0
        # Since when the closed zones could not be read, or None, and when the
        # next request for a takeover may go out because of it.
        self._zones_unknown_since = None
        self._next_zones_request = 0.0
        self._batch = None
        # Set after an entry of the input alone, until a pass makes the other
        # decisions.
        self._rest_due = False
        self._decisions_seconds = 0.0
        self._item_count = 0
        self._event_count = 0
        self._entry_size = 0
        self._pending_since = None
        self._next_append = 0.0
        self._next_store_check = 0.0
        self._snapshot_seq = log.next_seq
        self._members_hash = membership.hash_members(state.members)
        worker_health = health.WorkerHealthTracker()
        self._began = env.clock.read_monotonic()
        self._grants = grants.GrantTable(
            state.list_voters(), env.limits, self._began
        )
        self._outwaited = False
        self._advisor = policy.TicketCache(env.policy, env.clock, self._wake)
        self._timer = pass_timing.PassTimer(env.clock)
        self._decider = decider.Decider(
            env,
            state,
            self._grants,
            worker_health,
            self._advisor,
            self._timer,
            self._handle_member_change,
        )
        self._interference = interference_updates.InterferenceTracker()
        self._members = membership.Membership(
            env,
            state,
            self._grants,
            worker_health,
            self._decider.service_protection,
            self._interference.presses,
            self._decider.runtimes,
        )
        self._decider.set_members(self._members)
        self._operator_api = operator_api.OperatorApi(
            env, self, self._lock, state, self._members, self._decider
        )
        # Items that arrived while an append was stalled.
        self._deferred = []
        self._config = configuration.ConfigWatcher(
            env.kv, env.keeper, env.config_key
        )
        self.deposed = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='owner', daemon=True
        )

    def __enter__(self):
        self._members.sync_links(self)
        self._advisor.__enter__()
        self._operator_api.__enter__()
        self._thread.start()
        self._config.__enter__()
        return self

    def __exit__(self, *exc_info):
        """End the role; resign unless another process took over."""
        self._stop.set()
        self._config.__exit__()
        self._advisor.__exit__()
        self._inbox.put(None)
        self._thread.join()
        self._operator_api.__exit__()
        if not self._lost_ownership and self._batch is None:
            self.resign()
        self._members.close()

    @property
    def epoch(self):
        """The epoch of this owner."""
        return self._state.epoch

    @property
    def limits(self):
        """The deployment's ``Limits``."""
        return self._env.limits

    @property
    def stalled(self):
        """Whether an append is pending that has to be retried."""
        return self._batch is not None

    def list_links(self):
        """Return the links to the members."""
        return self._members.list_links()

    def resign(self):
        """Tell the members that this owner stops, and name a successor.

        Called by the deciding thread, or after it has ended, with no append
        pending.
        """
        now = self.read_clock()
        message = self._members.make_resignation(self.epoch, now)
        self._members.announce(message)
        LOG.info('resigned to %s', message.successor, extra=self._extra())

    # Called by the members' links, each from its own thread.

    def dial(self, vm):
        """Connect to a member."""
        return self._env.dial(vm)

    def read_clock(self):
        """Return the owner's monotonic clock, in seconds."""
        return self._env.clock.read_monotonic()

    def make_hello(self):
        """Return the greeting that this owner sends to a side."""
        return messages.Hello(
            role='owner',
            name=self._env.name,
            instance=self._env.instance,
            shard=self._env.shard,
            epoch=self.epoch,
        )

    def make_config(self):
        """Return the configuration in force, as a message for a side."""
        return self._env.keeper.make_update()

    def make_grant(self, member, side_ms):
        """Return the answer to a heartbeat.

        :param side_ms: the time in the heartbeat, or 0 if there was none
        """
        now = self.read_clock()
        valid = side_ms > 0 and not self.deposed.is_set()
        valid = valid and self._grants.grant(member, now)
        return messages.Grant(
            side_ms,
            int(now * _MS_PER_SECOND),
            self.epoch,
            valid,
            self._members_hash,
        )

    def make_zones(self):
        """Return the closed availability zones, as a message for a side."""
        return self._env.zones.make_update()

    def make_held_tasks(self, member):
        """Return the tasks that a member holds by the log, for its side."""
        with self._lock:
            runtimes = self._decider.runtimes
            return reconcile.make_held_tasks(self._state, member, runtimes)

    def make_rosters(self):
        """Return the rosters, as a message for a side."""
        return self._decider.rosters.make_update()

    def make_presses(self):
        """Return the known effects between pairs of images, for a side."""
        return self._interference.make_update()

    def adopt_presses(self, known):
        """Adopt the presses that a former owner told a side."""
        self._interference.adopt(known)

    def record_presses_observed(self, observed):
        """Add what a side has measured of pairs of images."""
        self._interference.add_observations(observed)

    def record_ack(self, member, beat):
        """Record a heartbeat that acknowledges this epoch."""
        if beat.epoch == self.epoch:
            self._decider.rosters.record_ack(member, beat.roster_seq)
        if beat.epoch == self.epoch and beat.owner_ms:
            now = self.read_clock()
            self._grants.record_ack(
                member, beat.owner_ms / _MS_PER_SECOND, now
            )

    def send_config(self):
        """Send the configuration in force to all sides."""
        self._members.announce(self.make_config())

    def send_closed_zones(self):
        """Send the closed zones to all sides and wake the deciding thread."""
        self._members.announce(self.make_zones())
        self._inbox.put(None)

    def check_epoch(self, epoch):
        """Check the log if a member knows a higher epoch."""
        if epoch > self.epoch:
            self._check_requested.set()
            # A higher epoch exists only once it is in the log.
            self._superseded = True

    def take_reports(self, link, message):
        """Queue the reports of a side."""
        connection = link.view.connection
        self._inbox.put(batches.ReportsItem(link, message, connection))

    def take_measures(self, vm, measures):
        """Queue the service measurements of a side."""
        self._inbox.put(batches.MeasurementsItem(vm, measures))

    # Called by entries, each from the thread of its connection.

    def execute_operation(self, operation, respond, received_at=None):
        """Carry out a call of an operator.

        The parameters are those of
        :meth:`operator_api.OperatorApi.execute_operation`. Only read calls
        block.
        """
        self._operator_api.execute_operation(operation, respond, received_at)

    @property
    def log_length(self):
        """The number of entries appended to the log so far."""
        return self._log.next_seq

    def is_confirmed(self):
        """Tell whether no other process can have taken over by now.

        Holds for ``limits.confirm`` seconds after a majority or the store last
        confirmed the ownership; False after a pause until it is confirmed
        again.
        """
        return self._grants.may_grant(self.read_clock())

    def accepts_calls(self):
        """Tell whether changing calls can be logged at present."""
        return not self.deposed.is_set() and not self._is_stalled()

    def estimate_wait_seconds(self):
        """Return how long a new call waits until a pass takes it in."""
        return self._timer.estimate_left_seconds()

    def take_call(self, call):
        """Queue a changing call of an operator."""
        self._inbox.put(call)

    def _wake(self):
        """Have the deciding thread begin a pass without other input."""
        self._inbox.put(None)

    def _handle_member_change(self):
        self._members_hash = membership.hash_members(self._state.members)
        # The next pass may change another member.
        self._wake()

    # The deciding thread.

    def _run(self):
        LOG.info('owner begins', extra=self._extra())
        wait = _RETRY_SECONDS
        try:
            while not self._stop.is_set():
                step = self.step(self._wait_for_input())
                if step is batches.StepResult.DEPOSED:
                    self._lost_ownership = True
                    break
                if step is batches.StepResult.DONE:
                    wait = _RETRY_SECONDS
                    continue
                self.serve_stalled()
                self._stop.wait(wait * random.uniform(0.5, 1.0))
                wait = min(2 * wait, _MAX_RETRY_SECONDS)
        finally:
            self.deposed.set()
            self._refuse_inbox()
            LOG.info('owner ends', extra=self._extra())

    def _wait_for_input(self):
        """Return the queued items; wait up to one tick for the first.

        Does not wait for any while decisions are due.
        """
        if self._batch is not None:
            return []
        items = []
        if not self._rest_due:
            try:
                items.append(self._inbox.get(timeout=_TICK_SECONDS))
            except queue.Empty:
                return items
        wait = self._next_append - self.read_clock()
        if wait > 0:
            self._stop.wait(wait)
        return items + self.take_items()

    def take_items(self):
        """Return all items that are queued now, without waiting."""
        return [self._inbox.get() for _ in range(self._inbox.qsize())]

    def step(self, items=()):
        """Decide on queued items, append the events, then act on them.

        A stalled append is retried before anything new is decided; ``items``
        must be empty then. Called by the deciding thread alone, or by a test
        in its place.

        :returns: a ``batches.StepResult``
        """
        if self._superseded:
            LOG.warning('deposed by a higher epoch', extra=self._extra())
            self.deposed.set()
            return batches.StepResult.DEPOSED
        is_retry = self.stalled
        if not is_retry:
            self._timer.start()
            if not self._prepare_pass():
                self.deposed.set()
                return batches.StepResult.DEPOSED
            items = [*self._deferred, *items]
            self._deferred = []
            self._item_count = len(items)
            self._event_count = 0
            if self._must_answer_first(items):
                self._rest_due = True
                began = self.read_clock()
                self._make_batch(self._decider.process_items, items)
                step = self._finish_batch()
                took_seconds = self.read_clock() - began
                if (
                    step is not batches.StepResult.DONE
                    or took_seconds > STALL_SECONDS
                ):
                    # The pass after this entry confirms the ownership again,
                    # and has the reports that come until the entry is logged.
                    return step
                items = []
            self._rest_due = False
            began = self.read_clock()
            self._make_batch(self._decider.decide, items)
            self._decisions_seconds = self.read_clock() - began
        step = self._finish_batch()
        if step is batches.StepResult.DONE:
            if not self._write_snapshot_if_due():
                self._log.trim()
            self._timer.mark('snapshot')
            self._timer.finish(
                self._item_count, self._event_count, not is_retry
            )
        return step

    def _prepare_pass(self):
        """Read what a pass needs, and send what needs no decision.

        :returns: False if another process has taken over
        """
        if not self._confirm_ownership():
            return False
        self._log_outwaited()
        self._timer.mark('confirm')
        self._members.sync_links(self)
        self._timer.mark('links')
        self._announce_presses()
        self._timer.mark('presses')
        self._members.read_vm_list(self.read_clock())
        self._refresh_zones()
        self._request_takeover_without_zones()
        self._timer.mark('lists')
        return True

    def _must_answer_first(self, items):
        """Tell whether items are logged before the other decisions.

        Not twice without these decisions in between, and not if they take less
        time than there should be between two appends.
        """
        slow_seconds = max(SLOW_DECISIONS_SECONDS, self._env.append_interval)
        return (
            not self._rest_due
            and self._decisions_seconds > slow_seconds
            and any(isinstance(one, batches.OperatorCall) for one in items)
        )

    def _make_batch(self, decide, items):
        """Decide on items under the lock.

        :param decide: the decider's function of the items that returns a
            ``batches.Batch``
        """
        with self._lock:
            self._timer.mark('lock')
            self._batch = decide(items)
        self._event_count += len(self._batch.events)
        for action in self._batch.before_commit:
            action()
        self._timer.mark('send-early')

    def _finish_batch(self):
        """Append the events of the batch, then act on them.

        :returns: a ``batches.StepResult``; unless it is DONE, the batch is
            kept
        """
        step = self._commit()
        self._timer.mark('append')
        if step is batches.StepResult.DEPOSED:
            self.deposed.set()
        if step is batches.StepResult.DONE:
            self._decider.preparation.clear_freed()
            # The append may have taken long. Sides check starts against the
            # closed zones they were told, so these go out first on each
            # connection.
            self._refresh_zones()
            self._timer.mark('lists')
            batch, self._batch = self._batch, None
            for action in batch.after_commit:
                action()
            self._timer.mark('send')
        return step

    def _announce_presses(self):
        """Send changed presses to all members, at intervals."""
        update = self._interference.take_due_update(self.read_clock())
        if update is not None:
            self._members.announce(update)

    def _refresh_zones(self):
        """Read the closed zones if the last reading is too old.

        Runs without the lock, as it may wait for the store.
        """
        if not self._members.has_recent_zones(self.read_clock()):
            self._env.zones.refresh(self._env.kv)

    def _request_takeover_without_zones(self):
        """Hand the shard over if nothing is placed as zones are unknown.

        No append may be under way that would stall and do the same.
        """
        now = self.read_clock()
        if self._members.has_recent_zones(now):
            self._zones_unknown_since = None
            return
        if self._zones_unknown_since is None:
            self._zones_unknown_since = now
        if now >= self._next_zones_request:
            self._next_zones_request = now + ZONES_REQUEST_SECONDS
            self._request_takeover(self._zones_unknown_since)

    def serve_stalled(self):
        """Handle input that needs no append, while one is stalled.

        Refuses calls, keeps reports for later, and starts prepared tasks where
        reports have freed resources.
        """
        items = self.take_items()
        for item in items:
            if isinstance(item, batches.OperatorCall):
                operator_api.refuse_call(item)
            elif item is not None:
                self._deferred.append(item)
        self._request_takeover(self._pending_since)
        unlogged = self._batch.list_prepared()
        for item in items:
            if isinstance(item, batches.ReportsItem):
                starts = self._decider.preparation.start_in_freed_room(
                    item.link.name, item.message.reports, unlogged
                )
                for start in starts:
                    item.link.send(start)

    def _request_takeover(self, since):
        """Ask a member, a different one each time, to take the shard over.

        The store may be unreachable from this VM and reachable from others.
        Until one of them has appended its epoch, this owner goes on granting;
        if none can, it remains the owner.

        :param since: when this VM's trouble with the store began, or None
        """
        if (
            since is None
            or self.read_clock() - since < TAKEOVER_REQUEST_SECONDS
        ):
            return
        names = self._members.list_successor_candidates(self.read_clock())
        if not names:
            return
        self._takeover_requests += 1
        name = names[self._takeover_requests % len(names)]
        LOG.warning('requested takeover', extra=logs.fields(peer=name))
        message = messages.Resignation(self.epoch, name)
        self._members.get_link(name).send(message)

    # The log.

    def _confirm_ownership(self):
        """Ask the store whether this is still the owner, when needed.

        :returns: False if another process has taken over
        """
        now = self.read_clock()
        requested = self._check_requested.is_set()
        interval = self._env.limits.confirm
        if not self._grants.has_majority(now):
            interval /= 3
        is_recent = self._grants.measure_store_age(now) < interval
        if not requested and (is_recent or now < self._next_store_check):
            return True
        self._next_store_check = now + interval
        answer = self._log.check_head()
        if answer.is_err():
            return True
        self._check_requested.clear()
        if answer.ok_value:
            self._grants.record_store(now)
            return True
        LOG.warning('deposed by the log', extra=self._extra())
        return False

    def _log_outwaited(self):
        """Log once that no former owner can grant any more, and why."""
        now = self.read_clock()
        basis = '' if self._outwaited else self._grants.find_basis(now)
        if basis:
            self._outwaited = True
            extra = logs.fields(
                reason=basis,
                voters=len(self._state.list_voters()),
                waited_ms=int((now - self._began) * _MS_PER_SECOND),
            )
            LOG.info('former owners outwaited', extra=self._extra() | extra)

    def _commit(self):
        """Append the events of the batch, split into entries as needed."""
        remaining = self._batch.events
        while remaining:
            # A stalled entry must be retried with the same events.
            self._entry_size = (
                self._entry_size or shardlog.count_fitting_events(remaining)
            )
            chunk = remaining[: self._entry_size]
            step = self._append_entry(chunk)
            if step is not batches.StepResult.DONE:
                return step
            del remaining[: self._entry_size]
            self._entry_size = 0
        return batches.StepResult.DONE

    def _append_entry(self, chunk):
        sent_at = self.read_clock()
        self._pending_since = self._pending_since or sent_at
        answer = self._log.append(chunk)
        metrics.APPENDS.inc()
        if answer.is_ok():
            # The entry may be in the log since it was first sent, with others
            # after it.
            self._grants.record_store(self._pending_since)
            self._pending_since = None
            self._next_append = sent_at + self._env.append_interval
            return batches.StepResult.DONE
        error = answer.err_value
        if isinstance(error, shardlog.Deposed):
            LOG.warning('deposed by an append', extra=self._extra())
            return batches.StepResult.DEPOSED
        LOG.warning('append stalled: %s', error.text, extra=self._extra())
        return batches.StepResult.STALLED

    def _write_snapshot_if_due(self):
        """Write a snapshot every ``SNAPSHOT_ENTRIES`` entries.

        :returns: whether one was due
        """
        if self._log.next_seq - self._snapshot_seq < SNAPSHOT_ENTRIES:
            return False
        self._snapshot_seq = self._log.next_seq
        with self._lock:
            raw = self._state.pack()
            history = self._state.pack_history()
        extra = self._extra() | logs.fields(
            bytes=len(raw), job_bytes=self._state.job_bytes
        )
        written = self._log.write_snapshot(raw, history)
        if written.is_err():
            text = written.err_value
            LOG.warning('snapshot not written: %s', text, extra=extra)
        else:
            LOG.info('snapshot written', extra=extra)
        return True

    def _is_stalled(self):
        since = self._pending_since
        return since is not None and (
            self.read_clock() - since > STALL_SECONDS
        )

    def _refuse_inbox(self):
        """Refuse the queued calls, which will not be carried out."""
        for item in [*self._deferred, *self.take_items()]:
            if isinstance(item, batches.OperatorCall):
                operator_api.refuse_call(item)

    def _extra(self):
        return logs.fields(shard=self._env.shard, epoch=self.epoch)

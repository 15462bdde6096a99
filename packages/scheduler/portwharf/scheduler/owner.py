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
from portwharf.scheduler import desk
from portwharf.scheduler import grants
from portwharf.scheduler import membership
from portwharf.scheduler import metrics
from portwharf.scheduler import pairing
from portwharf.scheduler import policy
from portwharf.scheduler import reconcile
from portwharf.scheduler import shardlog

LOG = logging.getLogger(__name__)

# Items taken into one pass, so that an entry stays under the store's limit.
MAX_ITEMS = 400
SNAPSHOT_ENTRIES = 300
# Calls are refused once an append has been under way for so long; the
# slowest that a working store was seen to take is 0.4 s.
STALL_SECONDS = 0.5
# After so long another VM is asked whether the store answers it.
INVITE_SECONDS = 0.8
_TICK_SECONDS = 0.5
_RETRY_SECONDS = 0.2
_MAX_RETRY_SECONDS = 0.4
_MS = 1000


class Owner:
    """The owner role; a context manager that ends it."""

    def __init__(self, env, log, state):
        """Take over with a state whose last event made us the owner."""
        self._env = env
        self._log = log
        self._state = state
        self._lock = threading.RLock()
        self._inbox = queue.SimpleQueue()
        self._stop = threading.Event()
        self._lost = False
        self._suspect = threading.Event()
        self._superseded = False
        self._invited = 0
        self._batch = None
        self._cut = 0
        self._pending_since = None
        self._next_append = 0.0
        self._next_check = 0.0
        self._snapshot_seq = log.next_seq
        ailing = health.Health()
        self._grants = grants.GrantTable(state.members, env.limits)
        self._advisor = policy.Advisor(
            env.policy, env.clock, lambda: self._inbox.put(None)
        )
        self._decider = decider.Decider(
            env, state, self._grants, ailing, self._advisor
        )
        self._pairing = pairing.Pairing()
        self._members = membership.Membership(
            env,
            state,
            self._grants,
            ailing,
            self._decider.pressure,
            self._pairing.presses,
            self._decider.runtimes,
        )
        self._decider.set_members(self._members)
        self._desk = desk.Desk(
            env, self, self._lock, state, self._members, self._decider
        )
        # Items that came in while an append was stalled.
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
        self._thread.start()
        self._config.__enter__()
        return self

    def __exit__(self, *exc_info):
        """End the role, handing it over if it is still ours."""
        self._stop.set()
        self._config.__exit__()
        self._advisor.__exit__()
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
    def limits(self):
        """The deployment's ``Limits``."""
        return self._env.limits

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

    def make_zones(self):
        """Return which availability zones are closed, for a side."""
        return self._env.zones.make_update()

    def make_held(self, member):
        """Return what a member's VM holds, for its side."""
        with self._lock:
            runtimes = self._decider.runtimes
            return reconcile.make_held(self._state, member, runtimes)

    def make_rosters(self):
        """Return the rosters, for a side."""
        return self._decider.rosters.make_update()

    def make_presses(self):
        """Return what is known of pairs of images, for a side."""
        return self._pairing.make_update()

    def take_known(self, known):
        """Begin with what a former owner has told a side of pairs."""
        self._pairing.adopt(known)

    def take_observed(self, observed):
        """Learn from what a side has observed of pairs of images."""
        self._pairing.learn(observed)

    def record_ack(self, member, beat):
        """Count a heartbeat that acknowledges our epoch."""
        if beat.epoch == self.epoch:
            self._decider.rosters.note_ack(member, beat.roster_seq)
        if beat.epoch == self.epoch and beat.owner_ms:
            now = self.read_clock()
            self._grants.record_ack(member, beat.owner_ms / _MS, now)

    def tell_config(self):
        """Pass the configuration in force down to the sides."""
        self._members.announce(self.make_config())

    def tell_zones(self):
        """Tell the sides of closed zones, and go over what waits."""
        self._members.announce(self.make_zones())
        self._inbox.put(None)

    def note_epoch(self, epoch):
        """Look at the log if a member knows a higher epoch than ours."""
        if epoch > self.epoch:
            self._suspect.set()
            # Only an append to the log makes a higher epoch.
            self._superseded = True

    def take_reports(self, link, message):
        """Queue a side's reports."""
        connection = link.view.connection
        self._inbox.put(batches.Reported(link, message, connection))

    def take_measures(self, vm, measures):
        """Queue what a side measured of its services."""
        self._inbox.put(batches.Measured(vm, measures))

    # What entries call, each from its connection's thread.

    def operate(self, operation):
        """Carry out an operator's call.

        :returns: a ``messages.OperationResult``
        """
        return self._desk.operate(operation)

    @property
    def log_length(self):
        """How many entries the log has had."""
        return self._log.next_seq

    def is_confirmed(self):
        """Tell whether nobody can have followed this owner by now.

        As far as that was asked lately: after a pause it is not known.
        """
        return self._grants.may_grant(self.read_clock())

    def takes_calls(self):
        """Tell whether changing calls have a chance to be logged now."""
        return not self.deposed.is_set() and not self._is_stalled()

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
                if step is batches.Step.DEPOSED:
                    self._lost = True
                    break
                if step is batches.Step.DONE:
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

        :returns: a ``batches.Step``
        """
        if self._superseded:
            LOG.warning('deposed, by a higher epoch', extra=self._extra())
            self.deposed.set()
            return batches.Step.DEPOSED
        if self._batch is None:
            if not self._confirm():
                self.deposed.set()
                return batches.Step.DEPOSED
            self._members.sync_links(self)
            self._tell_presses()
            self._members.read_vm_list(self.read_clock())
            self._read_zones()
            items = [*self._deferred, *items]
            self._deferred = []
            with self._lock:
                self._batch = self._decider.decide(items)
            for effect in self._batch.early:
                effect()
        step = self._commit()
        if step is batches.Step.DEPOSED:
            self.deposed.set()
        if step is batches.Step.DONE:
            # The append may have waited for long. What is told of zones comes
            # before the starts on each connection, and sides go by it.
            self._read_zones()
            batch, self._batch = self._batch, None
            for effect in batch.effects:
                effect()
            self._snapshot()
        return step

    def _tell_presses(self):
        """Pass on what sides have learnt, now and then."""
        update = self._pairing.take_news(self.read_clock())
        if update is not None:
            self._members.announce(update)

    def _read_zones(self):
        """Read which zones are closed, if what is known is old.

        It may take as long as the store does, so without the lock.
        """
        if not self._members.knows_zones(self.read_clock()):
            self._env.zones.look(self._env.kv)

    def serve_stalled(self):
        """Go on as far as that needs no append, while one is stalled."""
        items = self.take_items()
        for item in items:
            if isinstance(item, batches.Called):
                desk.refuse_call(item)
            elif item is not None:
                self._deferred.append(item)
        self._invite()
        for item in items:
            if isinstance(item, batches.Reported):
                starts = self._decider.preparation.note_stalled(
                    item.link.name, item.message.reports
                )
                for start in starts:
                    item.link.send(start)

    def _invite(self):
        """Ask a member, each time the next, to take the shard over.

        The store may refuse this VM and serve others. Until one of them
        has appended its epoch, this owner goes on granting; if none can,
        it stays the owner.
        """
        since = self._pending_since
        if since is None or self.read_clock() - since < INVITE_SECONDS:
            return
        names = self._members.list_usable(self.read_clock())
        if not names:
            return
        self._invited += 1
        name = names[self._invited % len(names)]
        LOG.warning('asks for a successor', extra=logs.fields(peer=name))
        message = messages.Resignation(self.epoch, name)
        self._members.get_link(name).send(message)

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
            # A stalled piece is tried again as it was.
            self._cut = self._cut or shardlog.cut_batch(rest)
            piece = rest[: self._cut]
            step = self._append(piece)
            if step is not batches.Step.DONE:
                return step
            del rest[: self._cut]
            self._cut = 0
        return batches.Step.DONE

    def _append(self, piece):
        sent = self.read_clock()
        self._pending_since = self._pending_since or sent
        answer = self._log.append(piece)
        metrics.APPENDS.inc()
        if answer.is_ok():
            self._pending_since = None
            self._decider.preparation.note_confirmed()
            self._grants.record_store(sent)
            self._next_append = sent + self._env.append_interval
            return batches.Step.DONE
        error = answer.err_value
        if isinstance(error, shardlog.Deposed):
            LOG.warning('deposed, by an append', extra=self._extra())
            return batches.Step.DEPOSED
        LOG.warning('append stalled: %s', error.text, extra=self._extra())
        return batches.Step.STALLED

    def _snapshot(self):
        """Write a snapshot now and then."""
        if self._log.next_seq - self._snapshot_seq < SNAPSHOT_ENTRIES:
            return
        self._snapshot_seq = self._log.next_seq
        with self._lock:
            raw = self._state.pack()
            aside = self._state.pack_history()
        written = self._log.write_snapshot(raw, aside)
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
            if isinstance(item, batches.Called):
                desk.refuse_call(item)

    def _extra(self):
        return logs.fields(shard=self._env.shard, epoch=self.epoch)

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How a side becomes the owner of its shard.

Every side watches for its owner's silence. The members' order is by
rendezvous, and each next in line waits a little longer, so that one acts.
Before it acts it asks the others whether they hear the owner: a side that
was cut off alone does not take the shard from an owner that the rest
follows. Acting is one append to the log with the next epoch; of two that
act at once the store lets one through.
"""

import concurrent.futures
import dataclasses
import logging
import random
import threading

import result

from portwharf.core import ids
from portwharf.core import logs
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.scheduler.decisions import planning
from portwharf.scheduler import events
from portwharf.scheduler import owner
from portwharf.scheduler import shardlog
from portwharf.scheduler import state
from portwharf import store

LOG = logging.getLogger(__name__)

# Without a majority to ask, silence has to last this many times longer.
LONELY_FACTOR = 8
_POLL_SECONDS = 0.1
_FOUND_SECONDS = 0.4
# A side that has heard no owner since its start waits for one this much
# shorter: all may have restarted, and nobody is there to wait for.
RESTARTED_SHARE = 0.5
_CLAIM_TRIES = 3
_ASK_THREADS = 16
# What a member that is asked is given to answer.
ASK_SECONDS = 0.5
# The first wait after a failure is this long at the most, in seconds, and
# each next one twice as long.
_BACK_OFF = 0.25
_MAX_BACK_OFF_SECONDS = 8.0
_MS = 1000


@dataclasses.dataclass(slots=True)
class Claim:
    """A shard that was taken: its log at the end, and its state."""

    log: shardlog.ShardLog = None
    state: 'state.ShardState' = None


def read_state(kv, shard):
    """Return the state that a shard's log comes to, or None."""
    contents = shardlog.ShardLog(kv, shard).read()
    if contents.is_err():
        return None
    return state.restore_state(contents.ok_value)


def read_epoch(kv, shard):
    """Return the epoch of a shard's log: Ok(number), or Err(StoreError)."""
    contents = shardlog.ShardLog(kv, shard).read(whole=False)
    return contents.map(lambda found: state.restore_state(found).epoch)


def found_shard(kv, shard, name, members):
    """Begin the log of a new shard, as its first owner.

    :returns: as :func:`claim_shard`
    """
    log = shardlog.ShardLog(kv, shard)
    contents = log.read()
    if contents.is_err():
        return contents
    if not contents.ok_value.empty:
        return result.Err(Rival(1))
    return append_claim(log, state.ShardState(), name, members)


def claim_shard(kv, shard, name, above=None):
    """Try once to become a shard's owner, by one append.

    Nothing but the log decides, so that this is safe at any time.

    :param above: give up if the log shows a higher epoch than this
    :returns: Ok(Claim), Err(StoreError), or Err(Rival) if there is one
    """
    log = shardlog.ShardLog(kv, shard)
    contents = log.read()
    if contents.is_err():
        return contents
    restored = state.restore_state(contents.ok_value)
    if above is not None and restored.epoch > above:
        return result.Err(Rival(restored.epoch))
    return append_claim(log, restored, name, [])


@dataclasses.dataclass(slots=True)
class Rival:
    """Another process owns the shard, under this epoch or a later one."""

    epoch: int = 0


def append_claim(log, restored, name, members):
    """Append that a process owns the shard from now on.

    :param members: given for a new shard only
    :returns: Ok(Claim), Err(StoreError), or Err(Rival)
    """
    event = events.OwnerChanged(restored.epoch + 1, name, members)
    for _ in range(_CLAIM_TRIES):
        answer = log.append([event])
        if answer.is_ok():
            restored.apply(event)
            return result.Ok(Claim(log, restored))
        if isinstance(answer.err_value, shardlog.Deposed):
            return result.Err(Rival(event.epoch))
    return result.Err(store.StoreError(answer.err_value.text, unknown=True))


class Watcher:
    """Watches the owner and takes its place; a context manager."""

    def __init__(self, env, guard, kv):
        """Take an ``environment.Environment``, a ``Guard`` and the store."""
        self._env = env
        self._guard = guard
        self._kv = kv
        self._owner = None
        self._members = {}
        # The owner that the log showed when it was read.
        self._former = ''
        self._failures = 0
        self._next_try = 0.0
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='watcher', daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        self._thread.join()

    @property
    def owner(self):
        """The owner that runs in this process, or None."""
        role = self._owner
        if role is not None and role.deposed.is_set():
            return None
        return role

    def _run(self):
        while not self._stop.wait(_POLL_SECONDS):
            if self._owner is not None:
                self._end_if_deposed()
            elif self._env.clock.read_monotonic() < self._next_try:
                continue
            elif self._guard.forgetful or not self._members:
                self._learn()
            elif self._guard.take_call():
                self._claim()
            elif self._is_our_turn():
                self._take_over()
            elif self._is_first_after_restart():
                self._take_over_all_restarted()
        self._end()

    def _back_off(self):
        """Leave the store alone for a while, longer each time.

        All sides of all shards may be here at once after an outage, so
        that the time is drawn at random.
        """
        self._failures += 1
        most = min(_MAX_BACK_OFF_SECONDS, _BACK_OFF * 2.0**self._failures)
        wait = random.uniform(0.5, 1.0) * most
        self._next_try = self._env.clock.read_monotonic() + wait

    def _end_if_deposed(self):
        if self._owner.deposed.is_set():
            self._end()
            self._guard.hold_off()

    def _end(self):
        role = self._owner
        self._owner = None
        if role is not None:
            role.__exit__(None, None, None)

    def _learn(self):
        """Learn epoch and members from the log; a new shard has none."""
        began = self._env.clock.read_monotonic()
        log = shardlog.ShardLog(self._kv, self._env.shard)
        contents = log.read(whole=False)
        self._note_read(contents, began)
        if contents.is_err():
            self._back_off()
            return
        self._failures = 0
        if contents.ok_value.empty:
            self._found_shard()
            return
        restored = state.restore_state(contents.ok_value)
        self._members = dict(restored.members)
        self._former = restored.owner
        self._guard.learn_epoch(restored.epoch)

    def _note_read(self, contents, began):
        """Log that the shard's log was read, or why not."""
        took = self._env.clock.read_monotonic() - began
        extra = logs.fields(shard=self._env.shard, took_ms=int(took * _MS))
        if contents.is_err():
            text = contents.err_value.text
            LOG.warning('log not read: %s', text, extra=extra)
            return
        found = contents.ok_value
        extra |= logs.fields(
            bytes=len(found.snapshot), count=len(found.batches)
        )
        LOG.info('log read', extra=extra)

    def _found_shard(self):
        """Begin the log of a new shard, if it is our turn.

        Until then the log is read again and again, as another's beginning
        of it is what we wait for.
        """
        listed = self._env.vmlist.read()
        if listed.is_err():
            return
        ours = planning.pick_members(listed.ok_value, self._env.shard)
        names = [vm.name for vm in ours]
        if self._env.name not in names:
            return
        order = ids.rank_by_rendezvous(str(self._env.shard), names)
        wait = order.index(self._env.name) * self._env.limits.rank_step
        if self._guard.measure_silence() < wait:
            self._stop.wait(_FOUND_SECONDS)
            return
        self._guard.learn_epoch(0)
        self._members = {vm.name: vm for vm in ours}
        self._begin(
            found_shard(self._kv, self._env.shard, self._env.name, ours)
        )

    def _is_our_turn(self):
        names = [n for n in self._members if n != self._guard.owner]
        if self._env.name not in names:
            names.append(self._env.name)
        order = ids.rank_by_rendezvous(str(self._env.shard), names)
        rank = order.index(self._env.name)
        limits = self._env.limits
        wait = limits.takeover + rank * limits.rank_step
        if not self._guard.has_heard:
            # An owner that lives redials at once whoever has restarted.
            wait *= RESTARTED_SHARE
        return self._guard.measure_silence() >= wait

    def _is_first_after_restart(self):
        """Tell whether to ask at once whether everybody has restarted.

        Only the first in line does, so that not all ask at the same time.
        """
        if self._guard.has_heard:
            return False
        names = [*self._members, self._env.name]
        order = ids.rank_by_rendezvous(str(self._env.shard), set(names))
        return order[0] == self._env.name

    def _take_over_all_restarted(self):
        """Take over if no member is left that could hear an owner.

        After power was lost everywhere nobody is there to wait for: all
        members answer, and none has heard an owner since its start. The
        former owner's VM is asked first, alone: one that lives says so.
        """
        epoch = self._guard.epoch
        former = self._members.get(self._former)
        if former is not None and former.name != self._env.name:
            if not _is_unheard(self._ask(former)):
                return
        votes = self._ask_members()
        if votes.unheard + 1 < len(self._members):
            return
        if self._guard.epoch == epoch and not self._guard.has_heard:
            self._claim()

    def _take_over(self):
        epoch = self._guard.epoch
        silence = self._guard.measure_silence()
        lonely = self._env.limits.takeover * LONELY_FACTOR
        votes = self._ask_members()
        needed = len(self._members) // 2 + 1
        alone = votes.hears == 0 and silence >= lonely
        if votes.silent + 1 < needed and not alone:
            return
        if self._guard.epoch != epoch or not self._is_our_turn():
            # Asking took a while, and an owner was heard meanwhile.
            return
        self._claim()

    def _claim(self):
        self._begin(
            claim_shard(
                self._kv, self._env.shard, self._env.name, self._guard.epoch
            )
        )

    def _begin(self, claimed):
        """Act as the owner if a claim went through, else wait for who is."""
        if claimed.is_err():
            if isinstance(claimed.err_value, Rival):
                # Somebody else was faster; it will dial us.
                self._guard.learn_epoch(claimed.err_value.epoch)
                self._guard.hold_off()
            else:
                self._back_off()
            return
        self._failures = 0
        claim = claimed.ok_value
        self._members = dict(claim.state.members)
        extra = logs.fields(shard=self._env.shard, epoch=claim.state.epoch)
        LOG.info('took over', extra=extra)
        role = owner.Owner(self._env, claim.log, claim.state)
        role.__enter__()
        self._owner = role

    def _ask_members(self):
        """Ask the other members whether they hear the owner."""
        others = [
            vm for vm in self._members.values() if vm.name != self._env.name
        ]
        votes = _Votes()
        with concurrent.futures.ThreadPoolExecutor(_ASK_THREADS) as pool:
            for answer in pool.map(self._ask, others):
                votes.count(answer)
        return votes

    def _ask(self, vm):
        """Return one member's answer, or None."""
        try:
            with self._env.dial(vm) as conn:
                streams.greet(conn, self._make_hello(), ASK_SECONDS)
                conn.set_idle(ASK_SECONDS)
                conn.send(messages.OwnerQuery(self._guard.epoch))
                return conn.receive()
        except streams.PeerError:
            return None

    def _make_hello(self):
        return messages.Hello(
            role='side',
            name=self._env.name,
            instance=self._env.instance,
            shard=self._env.shard,
            epoch=self._guard.epoch,
        )


def _is_unheard(answer):
    """Tell whether a member says that it has heard no owner."""
    return isinstance(answer, messages.OwnerAnswer) and answer.unheard


class _Votes:
    """Answers of the other members."""

    def __init__(self):
        self.hears = 0
        self.silent = 0
        # Of the silent, those that have heard no owner since their start.
        self.unheard = 0

    def count(self, answer):
        """Count an answer; a dead member says nothing.

        One that has restarted does not hear the owner either.
        """
        if not isinstance(answer, messages.OwnerAnswer):
            return
        if answer.hears:
            self.hears += 1
        else:
            self.silent += 1
            self.unheard += answer.unheard

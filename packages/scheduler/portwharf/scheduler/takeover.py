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
import logging
import threading

from portwharf.core import ids
from portwharf.core import logs
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.scheduler import events
from portwharf.scheduler import owner
from portwharf.scheduler import planning
from portwharf.scheduler import shardlog
from portwharf.scheduler import state

LOG = logging.getLogger(__name__)

# Without a majority to ask, silence has to last this many times longer.
LONELY_FACTOR = 8
_POLL_SECONDS = 0.2
_ASK_THREADS = 8


class Watcher:
    """Watches the owner and takes its place; a context manager."""

    def __init__(self, env, guard, kv):
        """Take an ``owner.Environment``, a ``Guard`` and the store."""
        self._env = env
        self._guard = guard
        self._kv = kv
        self._owner = None
        self._members = {}
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
            elif self._guard.forgetful or not self._members:
                self._learn()
            elif self._is_our_turn():
                self._take_over()
        self._end()

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
        log = shardlog.ShardLog(self._kv, self._env.shard)
        contents = log.read()
        if contents.is_err():
            self._stop.wait(self._env.limits.heartbeat)
            return
        if contents.ok_value.empty:
            self._found_shard(log)
            return
        restored = state.restore_state(contents.ok_value)
        self._members = dict(restored.members)
        self._guard.learn_epoch(restored.epoch)

    def _found_shard(self, log):
        """Begin the log of a new shard, if we are the first in line."""
        listed = self._env.vmlist.read()
        if listed.is_err():
            return
        ours = planning.pick_members(listed.ok_value, self._env.shard)
        names = [vm.name for vm in ours]
        if self._env.name not in names:
            return
        order = ids.rank_by_rendezvous(str(self._env.shard), names)
        wait = order.index(self._env.name) * self._env.limits.rank_step
        if self._stop.wait(wait):
            return
        fresh = state.ShardState()
        self._guard.learn_epoch(0)
        self._members = {vm.name: vm for vm in ours}
        self._append_ownership(log, fresh, ours)

    def _is_our_turn(self):
        names = [n for n in self._members if n != self._guard.owner]
        if self._env.name not in names:
            names.append(self._env.name)
        order = ids.rank_by_rendezvous(str(self._env.shard), names)
        rank = order.index(self._env.name)
        limits = self._env.limits
        wait = limits.takeover + rank * limits.rank_step
        return self._guard.measure_silence() >= wait

    def _take_over(self):
        silence = self._guard.measure_silence()
        lonely = self._env.limits.takeover * LONELY_FACTOR
        votes = self._ask_members()
        needed = len(self._members) // 2 + 1
        alone = votes.hears == 0 and silence >= lonely
        if votes.silent + 1 < needed and not alone:
            return
        log = shardlog.ShardLog(self._kv, self._env.shard)
        contents = log.read()
        if contents.is_err():
            self._guard.hold_off()
            return
        restored = state.restore_state(contents.ok_value)
        self._members = dict(restored.members)
        if restored.epoch > self._guard.epoch:
            # Somebody else was faster; it will dial us.
            self._guard.learn_epoch(restored.epoch)
            self._guard.hold_off()
            return
        self._append_ownership(log, restored, [])

    def _append_ownership(self, log, restored, ours):
        """Become the owner by an append, or leave it to who did."""
        event = events.OwnerChanged(restored.epoch + 1, self._env.name, ours)
        while not self._stop.is_set():
            answer = log.append([event])
            if answer.is_ok():
                break
            if isinstance(answer.err_value, shardlog.Deposed):
                self._guard.hold_off()
                return
            self._stop.wait(_POLL_SECONDS)
        else:
            return
        restored.apply(event)
        extra = logs.fields(shard=self._env.shard, epoch=event.epoch)
        LOG.info('took over', extra=extra)
        role = owner.Owner(self._env, log, restored)
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
                streams.greet(conn, self._make_hello())
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


class _Votes:
    """Answers of the other members."""

    def __init__(self):
        self.hears = 0
        self.silent = 0

    def count(self, answer):
        """Count an answer; a dead or restarted member says nothing."""
        if not isinstance(answer, messages.OwnerAnswer):
            return
        if answer.hears:
            self.hears += 1
        else:
            self.silent += 1

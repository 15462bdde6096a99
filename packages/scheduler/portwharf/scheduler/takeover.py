# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How a side becomes the owner of its shard.

Every side watches for silence of its owner. Rendezvous hashing ranks the
members, and each following rank waits a little longer, so that one of them
acts. Before it acts, it asks the others whether they hear the owner, so that a
side that is cut off alone does not take the shard from an owner that the rest
follows. To act is to append one entry with the next epoch to the log; of two
sides that act at once, the store accepts one.
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
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler import events
from portwharf.scheduler import membership
from portwharf.scheduler import owner
from portwharf.scheduler import shardlog
from portwharf.scheduler import state
from portwharf import store

LOG = logging.getLogger(__name__)

# Factor on the silence before a takeover if no majority has answered.
ISOLATED_FACTOR = 8
_POLL_SECONDS = 0.1
_FOUND_RETRY_SECONDS = 0.4
# The wait until the members are asked again, as a share of the silence beyond
# the one that starts a takeover, and its limit.
_ASK_AGAIN_SHARE = 0.2
_MAX_ASK_AGAIN_SECONDS = 1.0
# Share of the usual wait for a side that has heard no owner since its start:
# all sides may have restarted, with no owner to wait for.
RESTARTED_WAIT_SHARE = 0.5
# Limit of the factor on the wait for an owner after several that were not
# heard.
MAX_UNHEARD_FACTOR = 4
# Range of the random delay before a side reads the members again, as all sides
# learn of a change at the same time.
_MIN_REFRESH_SECONDS = 1.0
_MAX_REFRESH_SECONDS = 5.0
_MAX_CLAIM_ATTEMPTS = 3
_QUERY_THREADS = 16
# Timeout of a query to one member.
QUERY_TIMEOUT_SECONDS = 0.5
# Each failure doubles the upper bound of the wait before the next attempt.
_BACK_OFF_BASE_SECONDS = 0.25
_MAX_BACK_OFF_SECONDS = 8.0
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class Claim:
    """A shard that this process has come to own.

    :param log: the log of the shard, read to its end
    :param state: the state at that end
    """

    log: shardlog.ShardLog = None
    state: 'state.ShardState' = None


def read_state(kv, shard):
    """Return the state at the end of a shard's log, or None on failure."""
    contents = shardlog.ShardLog(kv, shard).read()
    if contents.is_err():
        return None
    return state.restore_state(contents.ok_value)


def read_epoch(kv, shard):
    """Return the epoch at the end of a shard's log.

    :returns: Ok(number), or Err(StoreError)
    """
    contents = shardlog.ShardLog(kv, shard).read(whole=False)
    return contents.map(lambda found: state.restore_state(found).epoch)


def create_shard(kv, shard, name, members):
    """Create the log of a new shard, as its first owner.

    :param members: list of ``data.Vm``
    :returns: as :func:`claim_shard`
    """
    log = shardlog.ShardLog(kv, shard)
    contents = log.read()
    if contents.is_err():
        return contents
    if not contents.ok_value.empty:
        return result.Err(OwnedByOther(1))
    return append_claim(log, state.ShardState(), name, members)


def claim_shard(kv, shard, name, max_epoch=None, members=None):
    """Try once to become a shard's owner, by one append to its log.

    Safe at any time, as only the log decides who is the owner.

    :param max_epoch: give up if the log shows a higher epoch than this
    :param members: give up if the log shows other members than these, a map
        of ``data.Vm`` by name; None to accept any
    :returns: Ok(Claim), Err(StoreError), Err(OwnedByOther), or
        Err(MembersChanged)
    """
    log = shardlog.ShardLog(kv, shard)
    contents = log.read()
    if contents.is_err():
        return contents
    restored = state.restore_state(contents.ok_value)
    if max_epoch is not None and restored.epoch > max_epoch:
        return result.Err(OwnedByOther(restored.epoch))
    if members is not None and restored.members != members:
        return result.Err(MembersChanged(restored))
    return append_claim(log, restored, name, [])


@dataclasses.dataclass(slots=True)
class OwnedByOther:
    """Another process owns the shard, in this epoch or a later one."""

    epoch: int = 0


@dataclasses.dataclass(slots=True)
class MembersChanged:
    """The members that a claim is based on are not those in the log.

    :param state: the state at the end of the log
    """

    state: 'state.ShardState' = None


def append_claim(log, restored, name, members):
    """Append the entry that makes a process the owner of a shard.

    :param log: the log, read to its end
    :param restored: the state at that end
    :param members: list of ``data.Vm`` for a new shard, else empty
    :returns: Ok(Claim), Err(StoreError), or Err(OwnedByOther)
    """
    event = events.OwnerChanged(restored.epoch + 1, name, members)
    for _ in range(_MAX_CLAIM_ATTEMPTS):
        answer = log.append([event])
        if answer.is_ok():
            restored.apply(event)
            return result.Ok(Claim(log, restored))
        if isinstance(answer.err_value, shardlog.Deposed):
            return result.Err(OwnedByOther(event.epoch))
    return result.Err(store.StoreError(answer.err_value.text, unknown=True))


class OwnerWatcher:
    """Watches the owner and takes over from it; a context manager."""

    def __init__(self, env, guard, kv):
        """Take an ``Environment``, a ``GrantGuard`` and the store."""
        self._env = env
        self._guard = guard
        self._kv = kv
        self._owner = None
        self._members = {}
        # The VM of the owner that the log showed when it was read.
        self._last_owner = ''
        self._members_hash = 0
        # When the members are read again as the owner has others, or None.
        self._refresh_at = None
        self._next_members_read = 0.0
        # Owners in a row that this side knows of from the log alone.
        self._unheard_owners = 0
        self._next_query = 0.0
        # The last entry that was read and when, and until when the log is
        # known to have grown.
        self._log_end = -1
        self._log_end_read_at = 0.0
        self._log_grew_at = 0.0
        self._failures = 0
        self._next_attempt = 0.0
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
        """The owner that runs in this process and is not deposed, or None."""
        role = self._owner
        if role is not None and role.deposed.is_set():
            return None
        return role

    def _run(self):
        while not self._stop.wait(_POLL_SECONDS):
            if self._owner is not None:
                self._stop_if_deposed()
            elif self._env.clock.read_monotonic() < self._next_attempt:
                continue
            elif self._guard.epoch_unknown or not self._members:
                self._load_members()
            elif self._guard.take_takeover_request():
                self._claim('requested')
            elif self._is_our_turn():
                self._take_over()
            elif self._is_refresh_due():
                self._reload_members()
            elif self._is_first_after_restart():
                self._take_over_all_restarted()
        self._stop_owner()

    def _back_off(self):
        """Delay the next attempt, longer after each failure.

        The delay is random, as all sides of all shards may retry at the same
        time after an outage.
        """
        self._failures += 1
        max_wait = min(
            _MAX_BACK_OFF_SECONDS, _BACK_OFF_BASE_SECONDS * 2.0**self._failures
        )
        wait = random.uniform(0.5, 1.0) * max_wait
        self._next_attempt = self._env.clock.read_monotonic() + wait

    def _stop_if_deposed(self):
        if self._owner.deposed.is_set():
            self._stop_owner()
            self._guard.restart_wait()

    def _stop_owner(self):
        role = self._owner
        self._owner = None
        if role is not None:
            role.__exit__(None, None, None)

    def _load_members(self):
        """Read epoch and members from the log, or create the log."""
        began = self._env.clock.read_monotonic()
        log = shardlog.ShardLog(self._kv, self._env.shard)
        contents = log.read(whole=False)
        self._log_read(contents, began)
        if contents.is_err():
            self._back_off()
            return
        self._failures = 0
        if contents.ok_value.empty:
            self._create_shard()
            return
        self._record_log_end(contents.ok_value.seq, began)
        restored = state.restore_state(contents.ok_value)
        self._store_members(restored)
        self._guard.learn_epoch(restored.epoch)
        self._guard.restart_wait()

    def _store_members(self, restored):
        self._members = dict(restored.members)
        self._members_hash = membership.hash_members(self._members)
        self._last_owner = restored.owner

    def _is_refresh_due(self):
        """Tell whether to read the members again, as the owner has others.

        A side that ranks itself among former members would act too early or
        too late once the owner ends.
        """
        now = self._env.clock.read_monotonic()
        if self._guard.members_hash in (0, self._members_hash):
            self._refresh_at = None
            return False
        if self._refresh_at is None:
            self._refresh_at = now + random.uniform(
                _MIN_REFRESH_SECONDS, _MAX_REFRESH_SECONDS
            )
        if now < self._refresh_at:
            return False
        self._refresh_at = None
        return True

    def _record_log_end(self, seq, read_at):
        if seq != self._log_end:
            # Grew at some time since the last reading.
            self._log_grew_at = self._log_end_read_at
        self._log_end = seq
        self._log_end_read_at = read_at

    def _reload_members(self):
        """Read the members from the log again, at intervals.

        The owner may have added many since, and those that were known may be
        gone.
        """
        now = self._env.clock.read_monotonic()
        if now < self._next_members_read:
            return
        self._next_members_read = now + self._env.limits.takeover
        log = shardlog.ShardLog(self._kv, self._env.shard)
        contents = log.read(whole=False)
        self._log_read(contents, now)
        if contents.is_ok():
            self._record_log_end(contents.ok_value.seq, now)
            restored = state.restore_state(contents.ok_value)
            self._store_members(restored)
            if restored.epoch > self._guard.epoch:
                self._follow_log(restored.epoch)

    def _follow_log(self, epoch):
        """Wait for the owner of a newer epoch, which will dial this side."""
        self._unheard_owners += 1
        if self._guard.owner:
            self._unheard_owners = 0
        self._guard.learn_epoch(epoch)
        self._guard.restart_wait()

    def _log_read(self, contents, began):
        """Write a log line about a read of the shard's log."""
        took = self._env.clock.read_monotonic() - began
        extra = logs.fields(
            shard=self._env.shard, took_ms=int(took * _MS_PER_SECOND)
        )
        if contents.is_err():
            text = contents.err_value.text
            LOG.warning('log read failed: %s', text, extra=extra)
            return
        found = contents.ok_value
        extra |= logs.fields(
            bytes=len(found.snapshot), count=len(found.batches)
        )
        LOG.info('log read', extra=extra)

    def _create_shard(self):
        """Create the log of a new shard, if it is our turn.

        Until then the caller keeps reading the log, which another side may
        create.
        """
        listed = self._env.vmlist.read()
        if listed.is_err():
            return
        listed_members = pass_inputs.list_endpoint_vms(
            listed.ok_value, self._env.shard
        )
        names = [vm.name for vm in listed_members]
        if self._env.name not in names:
            return
        order = ids.rank_by_rendezvous_hash(str(self._env.shard), names)
        wait = order.index(self._env.name) * self._env.limits.rank_step
        if self._guard.measure_silence() < wait:
            self._stop.wait(_FOUND_RETRY_SECONDS)
            return
        self._guard.learn_epoch(0)
        self._members = {vm.name: vm for vm in listed_members}
        self._start_owner(
            create_shard(
                self._kv, self._env.shard, self._env.name, listed_members
            )
        )

    def _is_our_turn(self):
        return self._guard.measure_silence() >= self._find_own_wait()

    def _find_own_wait(self):
        """Return the silence, in seconds, after which this side acts."""
        names = [n for n in self._members if n != self._guard.owner]
        if self._env.name not in names:
            names.append(self._env.name)
        order = ids.rank_by_rendezvous_hash(str(self._env.shard), names)
        rank = order.index(self._env.name)
        limits = self._env.limits
        wait = limits.takeover + rank * limits.rank_step
        if not self._guard.has_seen_owner:
            # A live owner redials at once, even after all sides have
            # restarted.
            wait *= RESTARTED_WAIT_SHARE
        if not self._guard.owner:
            wait *= min(2**self._unheard_owners, MAX_UNHEARD_FACTOR)
        return wait

    def _is_first_after_restart(self):
        """Tell whether to ask now whether all members have restarted.

        Only the first in line asks, so that not all sides do at the same time.
        """
        if self._guard.has_seen_owner:
            return False
        names = [*self._members, self._env.name]
        order = ids.rank_by_rendezvous_hash(str(self._env.shard), set(names))
        return order[0] == self._env.name

    def _take_over_all_restarted(self):
        """Take over if no other member can be hearing an owner.

        That is so after a power loss everywhere: all members answer, and none
        has heard an owner since its start. The VM of the last owner is asked
        first, alone, as a live owner ends the query.
        """
        epoch = self._guard.epoch
        last_owner = self._members.get(self._last_owner)
        if last_owner is not None and last_owner.name != self._env.name:
            if not _has_heard_no_owner(self._query_member(last_owner)):
                return
        tally = self._query_members(len(self._members))
        if tally.unheard + self._count_own_vote() < len(self._members):
            return
        if self._guard.epoch == epoch and not self._guard.has_seen_owner:
            self._claim('restarted', tally)

    def _take_over(self):
        now = self._env.clock.read_monotonic()
        if now < self._next_query:
            return
        epoch = self._guard.epoch
        silence = self._guard.measure_silence()
        needed = len(self._members) // 2 + 1
        own_vote = self._count_own_vote()
        tally = self._query_members(needed - own_vote)
        isolated = tally.hearing == 0 and self._is_isolated(silence, now)
        silent = tally.not_hearing + own_vote >= needed
        if not silent and not isolated:
            if tally.hearing < needed:
                self._reload_members()
            wait = _ASK_AGAIN_SHARE * (silence - self._find_own_wait())
            wait = min(wait, _MAX_ASK_AGAIN_SECONDS)
            self._next_query = self._env.clock.read_monotonic() + wait
            return
        if self._guard.epoch != epoch or not self._is_our_turn():
            # An owner may have been heard while the members were queried.
            return
        self._claim('silent' if silent else 'isolated', tally)

    def _is_isolated(self, silence, now):
        """Tell whether to take over without an answer of any member.

        Not while the log grows, as its owner is at work then.
        """
        wait = self._env.limits.takeover * ISOLATED_FACTOR
        return silence >= wait and now - self._log_grew_at >= wait

    def _count_own_vote(self):
        """Return 1 if this side is a member and 0 if not.

        An owner adds members one by one, so it greets a new side late. Such a
        side does not hear the owner, which is not the owner's fault.
        """
        return 1 if self._env.name in self._members else 0

    def _claim(self, reason, tally=None):
        """Claim the shard, and log why.

        If the members have changed since they were asked, only takes note of
        that.

        :param reason: 'requested' by the owner, all members have 'restarted',
            or the owner is 'silent' to a majority or to an 'isolated' side
        :param tally: the ``_QueryTally`` that it is based on, or None
        """
        members = None if tally is None else self._members
        tally = tally or _QueryTally()
        extra = logs.fields(
            shard=self._env.shard,
            epoch=self._guard.epoch,
            reason=reason,
            silence_ms=int(self._guard.measure_silence() * _MS_PER_SECOND),
            members=len(self._members),
            is_member=self._env.name in self._members,
            hearing=tally.hearing,
            not_hearing=tally.not_hearing,
            unheard=tally.unheard,
        )
        LOG.info('claiming shard', extra=extra)
        claimed = claim_shard(
            self._kv,
            self._env.shard,
            self._env.name,
            self._guard.epoch,
            members,
        )
        if claimed.is_err() and isinstance(claimed.err_value, MembersChanged):
            self._store_members(claimed.err_value.state)
            return
        self._start_owner(claimed)

    def _start_owner(self, claimed):
        """Start the owner role if a claim succeeded, else wait."""
        if claimed.is_err():
            if isinstance(claimed.err_value, OwnedByOther):
                taken = claimed.err_value.epoch
                extra = logs.fields(shard=self._env.shard, epoch=taken)
                LOG.info('shard claimed by another side', extra=extra)
                self._follow_log(taken)
            else:
                self._back_off()
            return
        self._failures = 0
        claim = claimed.ok_value
        self._store_members(claim.state)
        extra = logs.fields(
            shard=self._env.shard,
            epoch=claim.state.epoch,
            members=len(claim.state.members),
        )
        LOG.info('took over shard', extra=extra)
        role = owner.Owner(self._env, claim.log, claim.state)
        role.__enter__()
        self._owner = role

    def _query_members(self, enough):
        """Ask the other members whether they hear the owner.

        :param enough: how many that do not hear it end the query; members
            that have lost power may leave each of its threads waiting
        """
        others = [
            vm for vm in self._members.values() if vm.name != self._env.name
        ]
        tally = _QueryTally()
        pool = concurrent.futures.ThreadPoolExecutor(_QUERY_THREADS)
        try:
            queries = [pool.submit(self._query_member, vm) for vm in others]
            for query in concurrent.futures.as_completed(queries):
                tally.count(query.result())
                if tally.not_hearing >= enough:
                    break
        finally:
            pool.shutdown(wait=False, cancel_futures=True)
        return tally

    def _query_member(self, vm):
        """Return one member's answer, or None if it gave none."""
        try:
            with self._env.dial(vm) as conn:
                streams.exchange_hellos(
                    conn, self._make_hello(), QUERY_TIMEOUT_SECONDS
                )
                conn.set_idle(QUERY_TIMEOUT_SECONDS)
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


def _has_heard_no_owner(answer):
    """Tell whether a member says that it has heard no owner."""
    return isinstance(answer, messages.OwnerAnswer) and answer.unheard


class _QueryTally:
    """Counts the other members by whether they hear the owner."""

    def __init__(self):
        self.hearing = 0
        self.not_hearing = 0
        # Number of members in ``not_hearing`` that have heard no owner since
        # they started.
        self.unheard = 0

    def count(self, answer):
        """Count an answer; a missing answer counts for neither side.

        A member that has restarted does not hear the owner until it has been
        greeted again.
        """
        if not isinstance(answer, messages.OwnerAnswer):
            return
        if answer.hears:
            self.hearing += 1
        else:
            self.not_hearing += 1
            self.unheard += answer.unheard

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The members of a shard as seen by its present owner.

Holds the links to the members, what they report and what the VM list says of
them. The member list itself is in the shard's log.
"""

import collections

import xxhash

from portwharf.core import data
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.scheduler.decisions import lasting_headroom
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import uneven_pools
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import zones

# Longest time that a new owner waits for the reports of its members.
MAX_SETTLE_SECONDS = 1.0
# Share of the members whose reports let a new owner begin earlier, but not
# before ``MIN_SETTLE_SECONDS``.
SETTLE_SHARE = 0.75
MIN_SETTLE_SECONDS = 0.25
# Time from the placing of a task until tail latencies show its effect: its
# start, and the half second over which a worker measures.
MEASURE_SECONDS = 0.8
VM_LIST_INTERVAL_SECONDS = 5.0
# The same after a reading that failed.
VM_LIST_RETRY_SECONDS = 1.0

CLOSED_UNREACHABLE = 'unreachable'
CLOSED_NOT_READY = 'not-ready-yet'
CLOSED_LEAVING = 'leaving'
CLOSED_QUARANTINED = 'quarantined'
CLOSED_ZONE = messages.REFUSED_ZONE


def hash_members(members):
    """Return a number that tells lists of members apart.

    :param members: map of ``data.Vm`` by name
    """
    rows = [f'{vm.name} {vm.address} {vm.port}' for vm in members.values()]
    return xxhash.xxh32_intdigest('\n'.join(sorted(rows)).encode())


class Membership:
    """The members of one shard, as seen by its owner."""

    def __init__(
        self,
        env,
        state,
        grant_table,
        health,
        service_protection,
        pairs=None,
        runtimes=None,
    ):
        """Create the membership of a new owner.

        :param env: an ``environment.Environment``
        :param state: the ``state.ShardState``
        :param grant_table: the ``grants.GrantTable`` of the owner
        :param health: a ``health.WorkerHealthTracker`` of the shard's workers
        :param service_protection: a
            ``service_protection.ServiceProtection`` of the shard's workers
        :param pairs: a ``tail_interference.TailInterferenceModel``, or None
        :param runtimes: a ``forecast.RunTimeModel``, or None
        """
        self._pairs = pairs
        self._runtimes = runtimes
        self._service_protection = service_protection
        self._env = env
        self._state = state
        self._grants = grant_table
        self._health = health
        self._headrooms = lasting_headroom.HeadroomTracker()
        self._uneven_pools = uneven_pools.UnevenPools()
        self._links = {}
        self._listed = {}
        self._listed_at = {}
        self._next_list_read = 0.0
        # This shard's VMs as last read from the VM list and not yet processed,
        # or None.
        self._unprocessed_vms = None
        # The same, from the processing on until the members match, or None.
        self._wanted_vms = None
        self._began = env.clock.read_monotonic()

    def close(self):
        """End all links.

        All are told to stop before any is joined, as each may wait for a slow
        peer.
        """
        for link in self._links.values():
            link.stop()
        for link in self._links.values():
            link.__exit__(None, None, None)
        self._links = {}

    def list_links(self):
        """Return the links as they are now."""
        return list(self._links.values())

    def get_link(self, name):
        """Return the link to a member, or None."""
        return self._links.get(name)

    def sync_links(self, owner):
        """Open and close links so that each member of the state has one.

        :param owner: the ``owner.Owner`` that the links call
        """
        wanted = dict(self._state.members)
        links = dict(self._links)
        ended = []
        for name, link in self._links.items():
            vm = wanted.get(name)
            if vm is None or not pass_inputs.is_same_place(link.view.vm, vm):
                ended.append(links.pop(name))
        for name, vm in wanted.items():
            if name not in links:
                links[name] = self._env.make_link(vm, owner)
                links[name].__enter__()
        self._links = links
        for link in ended:
            # Its thread may be dialling a VM that is gone; it ends by itself.
            link.stop()

    def has_settled(self, now):
        """Tell whether the members have had enough time to report.

        An owner that placed tasks at once would put all of them on the VMs
        that happened to report first.
        """
        if now - self._began >= MAX_SETTLE_SECONDS:
            return True
        links = self.list_links()
        granted = sum(1 for link in links if link.view.granted)
        if granted == len(links):
            return True
        # A lost member must not delay the others.
        enough = granted >= SETTLE_SHARE * len(links)
        return enough and now - self._began >= MIN_SETTLE_SECONDS

    def is_silent(self, name, now):
        """Tell whether no heartbeat has come for ``limits.unreachable``."""
        link = self._links.get(name)
        limit = self._env.limits.unreachable
        if link is None or link.view.heard is None:
            return now - self._began >= limit
        return now - link.view.heard >= limit

    def has_reported(self, name):
        """Tell whether a side has reported what its worker runs."""
        link = self._links.get(name)
        return link is not None and link.view.reported

    def is_leaving(self, name):
        """Tell whether the platform is about to remove a VM."""
        listed = self._listed.get(name)
        return listed is not None and listed.state != data.VmState.LIVE

    def view_vms(self, weigher=None):
        """Return a ``vmview.VmView`` of each member, for placement.

        :param weigher: the ``precedence.Weigher`` of the pass, or None
        """
        now = self._env.clock.read_monotonic()
        weigher = weigher or precedence.Weigher(
            self._state, self._env.clock.read_unix_ms(), self._runtimes
        )
        self._health.clear_working(now)
        restricted = self._list_restricted(now)
        views = []
        unmeasured = []
        for name, link in self._links.items():
            view = vmview.VmView(link.view.vm, link.view.capacity)
            view.largest = link.view.largest
            view.reserved = self._state.reserved[name]
            view.reported = link.view.reported
            view.pool = link.view.pool
            view.labels = link.view.labels
            view.rack = link.view.rack or view.rack
            view.life = link.view.life
            view.set_headrooms(self._pairs, link.view.headrooms)
            unmeasured += self._add_fill(link, view, weigher)
            if self._env.compares_vms:
                self._track_headroom(link, view, now)
            view.closed = self._find_closed_reason(
                name, link, now
            ) or self._find_zone_closed_reason(link)
            if name in restricted:
                is_open = not view.closed
                view.closed = view.closed or self._find_quarantine(name, now)
                view.probe = self._health.awaits_probe(name, now)
                view.early_probe = is_open and not (
                    view.probe or self._health.is_probing(name, now)
                )
            views.append(view)
        self._headrooms.forget(self._links.keys())
        if self._env.compares_vms:
            self._uneven_pools.update(views, self._count_filling, now)
        for view, workload, weight in unmeasured:
            view.reserve_headroom(workload, weight)
        self._service_protection.fill_views(views, now)
        return views

    def _track_headroom(self, link, view, now):
        """Set the headroom of a VM that lasts."""
        known = link.view
        # A side that has reconnected may have restarted, and reports no paces
        # until it knows its tasks again.
        place = (known.vm.address, known.vm.port)
        origin = (place, known.connection, known.life)
        self._headrooms.update(view, known.headrooms, known.heard, origin, now)

    def _count_filling(self, views):
        """Return Counters of the filling tasks of each pool.

        :returns: map of pool to a Counter by (image, processors in
            thousandths)
        """
        counts = collections.defaultdict(collections.Counter)
        for view in views:
            for task in self._state.held[view.vm.name].values():
                workload = self._state.find_workload(task.id).workload
                if workload.fills:
                    size = workload.resources.cpu_milli
                    counts[view.pool][(workload.image, size)] += 1
        return counts

    def _list_restricted(self, now):
        """Return the set of VMs whose workers are kept from most tasks.

        Only half of the VMs that would take tasks are, in each pool and among
        those with a label that a workload requires: they may be all that a job
        can run on.
        """
        required = {
            record.workload.label for record in self._state.unended.values()
        }
        groups = collections.defaultdict(list)
        for name, link in self._links.items():
            if not (
                self._find_closed_reason(name, link, now)
                or self._find_zone_closed_reason(link)
            ):
                for label in {'', *required.intersection(link.view.labels)}:
                    groups[(link.view.pool, label)].append(name)
        restricted, spared = set(), set()
        for names in groups.values():
            found = self._health.list_restricted(names)
            restricted |= found
            spared |= set(names) - found
        return restricted - spared

    def _add_fill(self, link, view, weigher):
        """Add the load of a VM beyond its reserved resources to its view.

        :returns: list of (view, workload, weight) of the filling tasks whose
            effect is not reported yet
        """
        pace_percents = {
            (pace.task, pace.attempt): pace.percent for pace in link.view.paced
        }
        unmeasured = []
        for task in self._state.held[link.name].values():
            record = self._state.find_workload(task.id)
            view.add_usage(record.workload)
            if not record.workload.fills:
                continue
            name = (task.id, task.attempt)
            weight = weigher.weigh(record)
            if self._is_measured(link, name):
                pace = pace_percents.get(name, 100) / 100
                view.record_filling(record.workload, weight, pace)
            else:
                unmeasured.append((view, record.workload, weight))
        return unmeasured

    def _is_measured(self, link, attempt):
        """Return whether the last heartbeat told of an attempt's effect.

        Otherwise each pass until the next one would give the same headroom
        away again. What a former owner has placed counts as measured.

        :param attempt: (task id, attempt number)
        """
        heard = link.view.heard
        if not self._service_protection.has_placed(attempt):
            return heard is not None
        placed_at = self._service_protection.get_placed_at(attempt)
        return heard is not None and heard - placed_at >= MEASURE_SECONDS

    def pick_successor(self, now):
        """Return the name of a member that can take over, or ''."""
        return next(iter(self.list_successor_candidates(now)), '')

    def list_successor_candidates(self, now):
        """Return the names of the other members that are not closed."""
        return [
            name
            for name, link in self._links.items()
            if name != self._env.name
            and not self._find_closed_reason(name, link, now)
        ]

    def read_vm_list(self, now):
        """Read the VM list if the interval has passed.

        Must be called without the lock of the owner, which links need to
        answer heartbeats: the read may take as long as the store does.
        """
        if now < self._next_list_read:
            return
        answer = self._env.vmlist.read()
        if answer.is_err():
            self._next_list_read = now + VM_LIST_RETRY_SECONDS
            return
        self._next_list_read = now + VM_LIST_INTERVAL_SECONDS
        self._unprocessed_vms = pass_inputs.list_endpoint_vms(
            answer.ok_value, self._env.shard
        )

    def pop_member_change(self, now):
        """Compare the members with the VM list that was read last.

        The members change by one an entry, so a list may take many passes. A
        new member has no vote at first, so that it can be used at once. The
        voters change only when no former owner can grant any more, as such an
        owner may not know of the change.

        :returns: an event that changes one member, or None
        """
        shard_vms, self._unprocessed_vms = self._unprocessed_vms, None
        if shard_vms is not None:
            self._listed = {vm.name: vm for vm in shard_vms}
            self._listed_at.update((vm.name, now) for vm in shard_vms)
            self._wanted_vms = shard_vms
        may_change_voters = self._grants.may_change_voters(now)
        event = self._find_addition(may_change_voters)
        if event is None and may_change_voters:
            event = self._find_vote()
        if event is None and self._wanted_vms is not None:
            event = self._find_removal(may_change_voters, now)
        if event is None and may_change_voters:
            self._wanted_vms = None
        return event

    def _find_addition(self, may_change_voters):
        """Return the event that adds or moves a listed VM, or None.

        A VM that has moved has to win its vote anew.
        """
        for vm in self._wanted_vms or ():
            known = self._state.members.get(vm.name)
            if known is None:
                return events.MemberAdded(vm, votes=False)
            if not pass_inputs.is_same_place(known, vm) and (
                may_change_voters or vm.name in self._state.nonvoters
            ):
                return events.MemberAdded(vm, votes=False)
        return None

    def _find_vote(self):
        """Return the event that gives a member a vote, or None.

        Its side must have acknowledged this owner, so that members that never
        answer do not raise the majority.
        """
        for name in self._state.nonvoters:
            link = self._links.get(name)
            if link is not None and link.view.granted:
                return events.VoteGranted(name)
        return None

    def _find_removal(self, may_change_voters, now):
        """Return the event that removes a member that is gone, or None."""
        voters = self._state.list_voters()
        for name in self._state.members:
            may_remove = name not in voters or (
                may_change_voters and len(voters) > 1
            )
            if not may_remove or self._state.held[name]:
                continue
            if self._is_gone(name, now):
                return events.MemberRemoved(name)
        return None

    def _is_gone(self, name, now):
        """Tell whether a VM is silent and long missing from the list."""
        last_listed = self._listed_at.setdefault(name, now)
        unlisted = now - last_listed >= self._env.limits.gone
        return unlisted and self.is_silent(name, now)

    def _find_closed_reason(self, name, link, now):
        """Return why a VM gets no new tasks, or ''."""
        if link.view.heard is None or self.is_silent(name, now):
            return CLOSED_UNREACHABLE
        if not (link.view.reported and link.view.granted):
            return CLOSED_NOT_READY
        if link.view.draining or self.is_leaving(name):
            return CLOSED_LEAVING
        return ''

    def _find_quarantine(self, name, now):
        """Return the reason if a quarantined VM gets no new tasks, or ''."""
        if self._health.is_quarantined(name, now):
            return CLOSED_QUARANTINED
        if self._health.is_probing(name, now):
            return CLOSED_QUARANTINED
        return ''

    def _find_zone_closed_reason(self, link):
        """Return why a VM's zone gets no new tasks, or ''.

        Kept apart, as the side of a VM in a closed zone may still own the
        shard.
        """
        zone = link.view.vm.availability_zone
        return CLOSED_ZONE if self._env.zones.is_closed(zone) else ''

    def has_recent_zones(self, now):
        """Tell whether the reading of the closed zones is recent enough.

        A new owner must have read them itself: what its side was told may be
        as old as the owner before it.
        """
        oldest = max(self._began, now - zones.MAX_AGE_SECONDS)
        return self._env.zones.is_known_since(oldest)

    def announce(self, message):
        """Send a message, encoded once, to all members."""
        frame = streams.encode_frame(message)
        for link in self.list_links():
            link.send(message, frame)

    def make_resignation(self, epoch, now):
        """Return the message that hands the shard over to a successor."""
        return messages.Resignation(epoch, self.pick_successor(now))

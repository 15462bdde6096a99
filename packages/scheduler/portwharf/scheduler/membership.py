# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An owner's members: links to them, what they report, who comes and goes.

The member list itself is in the shard's log; here is what the present
owner has seen of the members in its own time.
"""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import planning
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import suspects
from portwharf.scheduler import zones

# What a new owner gives its members at the most to report.
SETTLE_SECONDS = 1.0
# It begins earlier once this share of them has reported, and had this long.
SETTLE_SHARE = 0.75
SETTLE_MOST_SECONDS = 0.25
VMLIST_SECONDS = 5.0

CLOSED_UNREACHABLE = 'unreachable'
CLOSED_NOT_READY = 'not-ready-yet'
CLOSED_LEAVING = 'leaving'
CLOSED_QUARANTINED = 'quarantined'
CLOSED_ZONE = messages.REFUSED_ZONE


class Membership:
    """The members of one shard, as its owner sees them."""

    def __init__(
        self,
        env,
        state,
        grant_table,
        health,
        pressure,
        pairs=None,
        runtimes=None,
    ):
        """Take an ``environment.Environment`` and what the owner knows.

        :param health: a ``health.Health`` of the shard's workers
        :param pressure: a ``pressure.Pressure`` of the same
        :param pairs: a ``presses.Presses``, or None
        :param runtimes: a ``forecast.RunTimes``, or None
        """
        self._pairs = pairs
        self._runtimes = runtimes
        self._pressure = pressure
        self._env = env
        self._state = state
        self._grants = grant_table
        self._health = health
        self._links = {}
        self._listed = {}
        self._listed_at = {}
        self._next_listing = 0.0
        # What was read of the VM list and not looked at yet, or None.
        self._ours = None
        self._began = env.clock.read_monotonic()

    def close(self):
        """End all links, together, as each may wait for a slow peer."""
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
        """Have one link for each member of the state.

        :param owner: what the links call
        """
        wanted = dict(self._state.members)
        links = dict(self._links)
        ended = []
        for name, link in self._links.items():
            vm = wanted.get(name)
            if vm is None or not planning.is_same_place(link.view.vm, vm):
                ended.append(links.pop(name))
        for name, vm in wanted.items():
            if name not in links:
                links[name] = self._env.make_link(vm, owner)
                links[name].__enter__()
        self._links = links
        for link in ended:
            link.__exit__(None, None, None)

    def has_settled(self, now):
        """Tell whether the members have had time to report.

        A new owner that placed at once would put everything on the VMs
        that happened to report first.
        """
        if now - self._began >= SETTLE_SECONDS:
            return True
        links = self.list_links()
        granted = sum(1 for link in links if link.view.granted)
        if granted == len(links):
            return True
        # One that is gone need not hold up all others.
        most = granted >= SETTLE_SHARE * len(links)
        return most and now - self._began >= SETTLE_MOST_SECONDS

    def is_silent(self, name, now):
        """Tell whether a member has not been heard for too long."""
        link = self._links.get(name)
        limit = self._env.limits.unreachable
        if link is None or link.view.heard is None:
            return now - self._began >= limit
        return now - link.view.heard >= limit

    def has_reported(self, name):
        """Tell whether a member has told what its worker runs."""
        link = self._links.get(name)
        return link is not None and link.view.reported

    def is_leaving(self, name):
        """Tell whether the platform is about to take a VM away."""
        listed = self._listed.get(name)
        return listed is not None and listed.state != data.VmState.LIVE

    def view_vms(self):
        """Return all members as placement sees them."""
        now = self._env.clock.read_monotonic()
        weigher = precedence.Weigher(
            self._state, self._env.clock.read_unix_ms(), self._runtimes
        )
        views = []
        for name, link in self._links.items():
            view = vmview.VmView(link.view.vm, link.view.capacity)
            view.largest = link.view.largest
            view.reserved = self._state.reserved[name]
            view.reported = link.view.reported
            view.pool = link.view.pool
            view.labels = link.view.labels
            view.rack = link.view.rack or view.rack
            view.life = link.view.life
            view.take_pairs(self._pairs, link.view.headrooms)
            self._count_fill(link, view, weigher)
            self._note_suspects(view)
            view.closed = self._find_closed(
                name, link, now
            ) or self._find_zone_closed(link)
            view.probe = self._health.is_probed(name, now)
            views.append(view)
        self._pressure.fill_views(views, now)
        return views

    def _count_fill(self, link, view, weigher):
        """Add what fills a VM beside what it has reserved."""
        paces = {
            (one.task, one.attempt): one.percent for one in link.view.paced
        }
        for task in self._state.held[link.name].values():
            record = self._state.find_workload(task.id)
            view.count_fill(record.workload)
            if record.workload.fills:
                percent = paces.get((task.id, task.attempt), 100)
                weight = weigher.weigh(record)
                view.note_filling(record.workload, weight, percent / 100)

    def _note_suspects(self, view):
        """Add what may crash the worker of a VM."""
        if not self._state.suspects:
            return
        for task in self._state.held[view.vm.name].values():
            if task.crashes:
                unit = suspects.find_unit(self._state, task)
                view.note_suspect(unit, len(task.crashes))

    def pick_successor(self, now):
        """Return the name of a member that can take over, or ''."""
        return next(iter(self.list_usable(now)), '')

    def list_usable(self, now):
        """Return the names of the other members that are well."""
        return [
            name
            for name, link in self._links.items()
            if name != self._env.name
            and not self._find_closed(name, link, now)
        ]

    def read_vm_list(self, now):
        """Read the VM list if it is time.

        It may take as long as the store does, so that it is called without
        the owner's lock: links answer heartbeats under it.
        """
        if now < self._next_listing:
            return
        self._next_listing = now + VMLIST_SECONDS
        answer = self._env.vmlist.read()
        if answer.is_ok():
            self._ours = planning.pick_members(
                answer.ok_value, self._env.shard
            )

    def take_change(self, now):
        """Take what was read of the VM list.

        :returns: an event that changes the member list by one, or None
        """
        ours, self._ours = self._ours, None
        if ours is None:
            return None
        self._listed = {vm.name: vm for vm in ours}
        self._listed_at.update((vm.name, now) for vm in ours)
        if not self._grants.has_majority(now):
            # Only who has had a majority of the list may change it, so
            # that two owners never reckon with lists that do not overlap.
            return None
        event = self._find_change(ours, now)
        if event is not None:
            self._next_listing = now
        return event

    def _find_change(self, ours, now):
        for vm in ours:
            known = self._state.members.get(vm.name)
            if known is None or not planning.is_same_place(known, vm):
                return events.MemberAdded(vm)
        for name in self._state.members:
            if self._is_gone(name, now) and not self._state.held[name]:
                return events.MemberRemoved(name)
        return None

    def _is_gone(self, name, now):
        """Tell whether a VM is silent and off the list for long enough."""
        seen = self._listed_at.setdefault(name, now)
        unlisted = now - seen >= self._env.limits.gone
        return unlisted and self.is_silent(name, now)

    def _find_closed(self, name, link, now):
        """Return why a VM gets nothing new, or ''."""
        if link.view.heard is None or self.is_silent(name, now):
            return CLOSED_UNREACHABLE
        if not (link.view.reported and link.view.granted):
            return CLOSED_NOT_READY
        if link.view.draining or self.is_leaving(name):
            return CLOSED_LEAVING
        if self._health.is_quarantined(name, now):
            return CLOSED_QUARANTINED
        if self._health.is_probing(name, now):
            return CLOSED_QUARANTINED
        return ''

    def _find_zone_closed(self, link):
        """Return why nothing may begin in a VM's zone, or ''.

        Its side may own the shard all the same.
        """
        zone = link.view.vm.availability_zone
        return CLOSED_ZONE if self._env.zones.is_closed(zone) else ''

    def knows_zones(self, now):
        """Tell whether it is known well enough which zones are closed.

        A new owner reads it itself first: what its side was told may be as
        old as the owner before it.
        """
        oldest = max(self._began, now - zones.MAX_AGE_SECONDS)
        return self._env.zones.is_known_since(oldest)

    def announce(self, message):
        """Send a message to all members."""
        for link in self.list_links():
            link.send(message)

    def make_resignation(self, epoch, now):
        """Return the message that hands the shard over."""
        return messages.Resignation(epoch, self.pick_successor(now))

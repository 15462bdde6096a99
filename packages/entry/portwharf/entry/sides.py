# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An entry's connections to sides, one thread for each.

A request's answer comes back on the connection that it was sent on or not
at all: when a connection ends, whatever waits on it hears so at once. An
answer counts only when it is whole, by length and checksum.
"""

import dataclasses
import itertools
import threading

import xxhash

from portwharf.core import data
from portwharf.peers import links
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.scheduler import homes

_BEAT_SECONDS = 1.0
_BEATS_A_LISTING = 2
# What an entry says that wants no configuration from this side.
ANY_REVISION = 2**62


class Exchange:
    """One request or operation that waits for its answer."""

    def __init__(self, began=0.0):
        self.began = began
        self._done = threading.Event()
        self._pieces = []
        self._size = 0
        self.answer = None
        self.payload = b''
        self.lost = ''

    def wait(self, timeout):
        """Wait for the end; returns whether it came in time."""
        return self._done.wait(timeout)

    def take(self, message):
        """Take an answer, whole or its first piece.

        :returns: whether nothing more is to come
        """
        self.answer = message
        if isinstance(message, messages.OperationResult):
            self._done.set()
            return True
        return self.extend(message.payload)

    def extend(self, piece):
        """Take one more piece of an answer's payload.

        :returns: whether nothing more is to come
        """
        if self.answer is None:
            return False
        self._pieces.append(piece)
        self._size += len(piece)
        if self._size < self.answer.size:
            return False
        self.payload = b''.join(self._pieces)
        whole = self._size == self.answer.size
        checksum = xxhash.xxh64_intdigest(self.payload)
        if not whole or checksum != self.answer.checksum:
            self.lost = 'answer-damaged'
        self._done.set()
        return True

    def lose(self, reason):
        """End without an answer."""
        self.lost = reason
        self._done.set()


@dataclasses.dataclass(slots=True)
class LinkView:
    """What the entry knows of a side at one time."""

    vm: data.Vm = dataclasses.field(default_factory=data.Vm)
    up: bool = False
    state: messages.SideState = dataclasses.field(
        default_factory=messages.SideState
    )
    services: frozenset = frozenset()
    # Sent by this entry and not answered yet.
    sent: int = 0


class SideLink(links.PeerLink):
    """The connection to one side."""

    def __init__(
        self,
        vm,
        dial,
        make_hello,
        clock,
        note_roster=None,
        keeper=None,
        note_owner=None,
    ):
        """Take the VM, a function that dials it and one that greets.

        :param note_roster: called with a shard and a ``RosterUpdate``
        :param keeper: the entry's ``ConfigKeeper``, or None
        :param note_owner: called when the side tells of another owner
        """
        self._note_owner = note_owner
        self._keeper = keeper
        super().__init__(vm.name)
        self._clock = clock
        self._note_roster = note_roster
        self._dial = dial
        self._make_hello = make_hello
        self._lock = threading.Lock()
        self._exchanges = {}
        self._numbers = itertools.count(1)
        self.view = LinkView(vm)

    def dial(self):
        return self._dial(self.view.vm)

    def make_hello(self):
        return self._make_hello()

    def attach(self, conn, peer):
        self.view.up = True

    def handle(self, conn, message):
        self._take(message)

    def detach(self):
        self.view.up = False
        with self._lock:
            lost = list(self._exchanges.values())
            self._exchanges.clear()
            self.view.sent = 0
        for exchange in lost:
            exchange.lose('connection-lost')

    def begin(self, message, payload=b''):
        """Send a request or an operation.

        :param message: gets its ``id`` here
        :param payload: the whole payload, sent in pieces
        :returns: an :class:`Exchange`, or None if there is no connection
            and so nothing was sent
        """
        conn = self._conn
        if conn is None:
            return None
        exchange = Exchange(self._clock.read_monotonic())
        with self._lock:
            message.id = next(self._numbers)
            self._exchanges[message.id] = exchange
            self.view.sent += 1
        if self._conn is not conn:
            self._forget(message.id)
            return None
        try:
            self._send(conn, message, payload)
        except streams.PeerError:
            # Part of it may have arrived.
            self._forget(message.id)
            exchange.lose('connection-lost')
        return exchange

    def measure_oldest(self, now):
        """Return the age of the oldest unanswered request, in seconds."""
        with self._lock:
            oldest = next(iter(self._exchanges.values()), None)
        return now - oldest.began if oldest is not None else 0.0

    def withdraw(self, message):
        """Tell the side that nobody waits for a request any longer."""
        self._forget(message.id)
        self.send(messages.Withdraw(message.id))

    def beat(self, revision=ANY_REVISION):
        """Send a sign of life, so that the side keeps the connection.

        :param revision: of the configuration here, for the side to send a
            later one; ``ANY_REVISION`` if another side is asked
        """
        self.send(messages.SideState(config_revision=revision))

    def _send(self, conn, message, payload):
        if not isinstance(message, messages.Request):
            conn.send(message)
            return
        size = streams.CHUNK_BYTES
        message.size = len(payload)
        message.payload = payload[:size]
        conn.send(message)
        for at in range(size, len(payload), size):
            piece = payload[at : at + size]
            conn.send(messages.Chunk(message.id, piece))

    def _forget(self, number):
        with self._lock:
            if self._exchanges.pop(number, None) is not None:
                self.view.sent -= 1

    def _take(self, message):
        if isinstance(message, messages.SideState):
            former, self.view.state = self.view.state, message
            if former.owner != message.owner and self._note_owner:
                self._note_owner()
            self.view.services = frozenset(message.services)
            return
        if isinstance(message, messages.ConfigUpdate):
            if self._keeper is not None:
                self._keeper.offer(message.revision, message.text)
            return
        if isinstance(message, messages.RosterUpdate):
            self._note_roster(self.view.state.shard, message)
            return
        exchange = self._exchanges.get(getattr(message, 'id', None))
        if exchange is None:
            # The answer to a request that was given up.
            return
        if isinstance(message, messages.Answer):
            self.view.state.in_flight = message.in_flight
            if exchange.take(message):
                self._forget(message.id)
        elif isinstance(message, messages.Chunk):
            if exchange.extend(message.payload):
                self._forget(message.id)
        elif isinstance(message, messages.OperationResult):
            exchange.take(message)
            self._forget(message.id)
        else:
            raise streams.GarbledError(f'unexpected {type(message).__name__}')


class LinkTable:
    """Links to sides on the VM list; a context manager."""

    def __init__(
        self, vmlist, dial, make_hello, clock, keeper=None, choose=None
    ):
        """Take the VM list and what each :class:`SideLink` needs.

        :param choose: gives, for the names of all sides and the links by
            name, the names to be linked to; all, if it is None
        """
        self._keeper = keeper
        self._choose = choose or _choose_all
        self._clock = clock
        self._vmlist = vmlist
        self._dial = dial
        self._make_hello = make_hello
        self._links = {}
        self._rosters = {}
        # How often a side was asked for a later configuration.
        self._asked = 0
        self._leaving = frozenset()
        self._wanted = {}
        self._stop = threading.Event()
        # Set when there may be others to be linked to.
        self._changed = threading.Event()
        self.listed = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='links', daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        self._changed.set()
        self._thread.join()
        for link in self._links.values():
            link.stop()
        for link in self._links.values():
            link.__exit__(None, None, None)

    def list_links(self):
        """Return the links as they are now."""
        return list(self._links.values())

    def find_home(self, request, service):
        """Return the link to the home of a not-repeatable request, or None.

        By the latest roster that any side has passed on. The home checks
        by its own, so that an old one does no harm here.
        """
        for roster in list(self._rosters.values()):
            name = homes.find_home(roster, request, service)
            if name:
                return self._links.get(name)
        return None

    def _note_roster(self, shard, update):
        if not update.history:
            return
        latest = update.history[-1]
        known = self._rosters.get(shard)
        if known is None or latest.seq > known.seq:
            self._rosters[shard] = latest

    def list_serving(self, service):
        """Return the links to sides that take a service's requests."""
        return [
            link
            for link in self._links.values()
            if link.view.up
            and service in link.view.services
            and not link.view.state.draining
            and link.name not in self._leaving
        ]

    def _run(self):
        beats = 0
        while not self._stop.is_set():
            if beats % _BEATS_A_LISTING == 0 or not self.listed.is_set():
                self._read_list()
            beats += 1
            self.beat()
            self._wait_for_beat()

    def _wait_for_beat(self):
        """Wait for the next beat, and link to others as soon as need be."""
        if self._changed.wait(_BEAT_SECONDS):
            self._changed.clear()
            self._link()

    def _note_change(self):
        """Note that a side has told of another owner."""
        self._changed.set()

    def beat(self):
        """Send a sign of life to all sides, and ask one for what is newer.

        A configuration of 1,500 routes is 0.3 MB. From each of 76 sides at
        once it takes a link of 5 Mbit/s half a minute, and what the store
        answers waits behind that; so each beat asks another side, one.
        """
        links = self.list_links()
        revision = self._keeper.read().revision if self._keeper else 0
        newer = [
            link
            for link in links
            if link.view.up and link.view.state.config_revision > revision
        ]
        asked = None
        if self._keeper is not None and newer:
            self._asked += 1
            asked = newer[self._asked % len(newer)]
        for link in links:
            link.beat(revision if link is asked else ANY_REVISION)

    def _read_list(self):
        listed = self._vmlist.read()
        if listed.is_ok():
            self._follow(listed.ok_value)
            self.listed.set()

    def _follow(self, vms):
        """Take what the list names, and link to what is chosen of it."""
        self._wanted = {
            vm.name: vm for vm in vms if vm.role == data.Role.ENDPOINT
        }
        self._leaving = frozenset(
            vm.name
            for vm in self._wanted.values()
            if vm.state != data.VmState.LIVE
        )
        self._link()

    def _link(self):
        """Link to each chosen VM, and end the links to others.

        A VM that the list no longer names keeps its link while that is up:
        the list may lag or be wrong, and the connection tells the truth.
        """
        chosen = self._choose(list(self._wanted), self._links)
        links = dict(self._links)
        for name, link in self._links.items():
            vm = self._wanted.get(name)
            if vm is None and link.view.up:
                continue
            if vm is None or _has_moved(link.view.vm, vm):
                del links[name]
                link.__exit__(None, None, None)
            elif name not in chosen and not link.view.sent:
                del links[name]
                link.__exit__(None, None, None)
        for name in chosen:
            if name not in links:
                links[name] = self._open_link(self._wanted[name])
        self._links = links

    def _open_link(self, vm):
        link = SideLink(
            vm,
            self._dial,
            self._make_hello,
            self._clock,
            self._note_roster,
            self._keeper,
            self._note_change,
        )
        return link.__enter__()


def _choose_all(names, links):
    return names


def _has_moved(known, vm):
    return (known.address, known.port) != (vm.address, vm.port)

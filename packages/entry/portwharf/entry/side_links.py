# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An entry's connections to sides, with one thread each.

A request is answered on the connection that it was sent on, or not at all:
when a connection ends, all exchanges that wait on it fail at once. An answer
is valid only if its length and checksum match.
"""

import dataclasses
import itertools
import threading

import xxhash

from portwharf.core import data
from portwharf.peers import links
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.scheduler import request_homes

_HEARTBEAT_SECONDS = 1.0
_HEARTBEATS_PER_LISTING = 2
# Revision sent to a side that need not send its configuration.
NO_CONFIG_WANTED = 2**62


class Exchange:
    """A request or operation and its answer.

    An empty ``failure`` after the end means that ``answer`` is valid.
    """

    def __init__(self, began=0.0):
        self.began = began
        self._done = threading.Event()
        self._chunks = []
        self._size = 0
        self.answer = None
        self.payload = b''
        self.failure = ''

    def wait(self, timeout):
        """Wait for the end; returns False on timeout."""
        return self._done.wait(timeout)

    def handle_answer(self, message):
        """Handle an answer, or the first part of a long one.

        :returns: whether the exchange has ended
        """
        self.answer = message
        if isinstance(message, messages.OperationResult):
            self._done.set()
            return True
        return self.append_chunk(message.payload)

    def append_chunk(self, chunk):
        """Append a part of the answer's payload; verify it when complete.

        :returns: whether the exchange has ended
        """
        if self.answer is None:
            return False
        self._chunks.append(chunk)
        self._size += len(chunk)
        if self._size < self.answer.size:
            return False
        self.payload = b''.join(self._chunks)
        whole = self._size == self.answer.size
        checksum = xxhash.xxh64_intdigest(self.payload)
        if not whole or checksum != self.answer.checksum:
            self.failure = 'answer-damaged'
        self._done.set()
        return True

    def fail(self, reason):
        """End the exchange without a valid answer."""
        self.failure = reason
        self._done.set()


@dataclasses.dataclass(slots=True)
class LinkView:
    """State of the link to a side, and what the side last reported.

    :param sent: requests and operations not answered yet
    """

    vm: data.Vm = dataclasses.field(default_factory=data.Vm)
    up: bool = False
    state: messages.SideState = dataclasses.field(
        default_factory=messages.SideState
    )
    services: frozenset = frozenset()
    sent: int = 0


class SideLink(links.PeerLink):
    """Connection to one side, with the exchanges in progress on it."""

    def __init__(
        self,
        vm,
        dial,
        make_hello,
        clock,
        on_roster=None,
        keeper=None,
        on_owner_change=None,
    ):
        """Create a link; it connects when entered.

        :param dial: opens a connection to a VM
        :param make_hello: returns the entry's ``messages.Hello``
        :param on_roster: called with a shard and a ``RosterUpdate``
        :param keeper: the entry's ``ConfigKeeper``, or None
        :param on_owner_change: called when the side reports another owner
        """
        self._on_owner_change = on_owner_change
        self._keeper = keeper
        super().__init__(vm.name)
        self._clock = clock
        self._on_roster = on_roster
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
        self._handle_message(message)

    def detach(self):
        self.view.up = False
        with self._lock:
            lost = list(self._exchanges.values())
            self._exchanges.clear()
            self.view.sent = 0
        for exchange in lost:
            exchange.fail('connection-lost')

    def send_request(self, message, payload=b''):
        """Send a request or an operation.

        :param message: its ``id`` is set here
        :param payload: the whole payload; sent in chunks
        :returns: an :class:`Exchange`, or None if there is no connection
            and nothing was sent
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
            # The side may have received part of it.
            self._forget(message.id)
            exchange.fail('connection-lost')
        return exchange

    def measure_oldest_age(self, now):
        """Return the age of the oldest unanswered request, in seconds."""
        with self._lock:
            oldest = next(iter(self._exchanges.values()), None)
        return now - oldest.began if oldest is not None else 0.0

    def withdraw(self, message):
        """Cancel a request: drop its exchange and tell the side."""
        self._forget(message.id)
        self.send(messages.Withdraw(message.id))

    def forget(self, message):
        """Stop waiting for the answer to an operation.

        An answer that still comes is ignored.
        """
        self._forget(message.id)

    def send_heartbeat(self, revision=NO_CONFIG_WANTED):
        """Send a heartbeat, which keeps the connection open.

        :param revision: of the configuration here; the side sends its own
            if that is later. ``NO_CONFIG_WANTED`` for no configuration.
        """
        self.send(messages.SideState(config_revision=revision))

    def _send(self, conn, message, payload):
        if not isinstance(message, messages.Request):
            conn.post(message)
            return
        size = streams.CHUNK_BYTES
        message.size = len(payload)
        message.payload = payload[:size]
        conn.send(message)
        for at in range(size, len(payload), size):
            chunk = payload[at : at + size]
            conn.send(messages.Chunk(message.id, chunk))

    def _forget(self, number):
        with self._lock:
            if self._exchanges.pop(number, None) is not None:
                self.view.sent -= 1

    def _handle_message(self, message):
        if isinstance(message, messages.SideState):
            former, self.view.state = self.view.state, message
            if former.owner != message.owner and self._on_owner_change:
                self._on_owner_change()
            self.view.services = frozenset(message.services)
            return
        if isinstance(message, messages.ConfigUpdate):
            if self._keeper is not None:
                self._keeper.update(message.revision, message.text)
            return
        if isinstance(message, messages.RosterUpdate):
            self._on_roster(self.view.state.shard, message)
            return
        exchange = self._exchanges.get(getattr(message, 'id', None))
        if exchange is None:
            # This answers a request that was withdrawn or given up.
            return
        if isinstance(message, messages.Answer):
            self.view.state.in_flight = message.in_flight
            if exchange.handle_answer(message):
                self._forget(message.id)
        elif isinstance(message, messages.Chunk):
            if exchange.append_chunk(message.payload):
                self._forget(message.id)
        elif isinstance(message, messages.OperationResult):
            exchange.handle_answer(message)
            self._forget(message.id)
        else:
            raise streams.ProtocolError(
                f'unexpected message {type(message).__name__}'
            )


class LinkTable:
    """Links to the sides on the VM list; a context manager."""

    def __init__(
        self, vmlist, dial, make_hello, clock, keeper=None, select_sides=None
    ):
        """Create a table; see :class:`SideLink` for the other parameters.

        :param select_sides: returns the names of the sides to link to, given
            the names of all sides and a map of links by name; None for all
        """
        self._keeper = keeper
        self._select_sides = select_sides or _select_all
        self._clock = clock
        self._vmlist = vmlist
        self._dial = dial
        self._make_hello = make_hello
        self._links = {}
        self._rosters = {}
        # Number of heartbeats that asked for a later configuration.
        self._config_requests = 0
        self._not_live = frozenset()
        self._listed_vms = {}
        self._stop = threading.Event()
        # This event is set when the selection of sides may change.
        self._changed = threading.Event()
        self.vmlist_loaded = threading.Event()
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
        """Return all links."""
        return list(self._links.values())

    def find_home(self, request, service):
        """Return the link to the home of a request id, or None.

        Uses the latest roster that any side has sent. An outdated roster is
        safe, since the home checks its own.
        """
        for roster in list(self._rosters.values()):
            name = request_homes.find_home(roster, request, service)
            if name:
                return self._links.get(name)
        return None

    def _record_roster(self, shard, update):
        if not update.history:
            return
        latest = update.history[-1]
        known = self._rosters.get(shard)
        if known is None or latest.seq > known.seq:
            self._rosters[shard] = latest

    def list_serving(self, service):
        """Return the links to sides that accept requests of a service."""
        return [
            link
            for link in self._links.values()
            if link.view.up
            and service in link.view.services
            and not link.view.state.draining
            and link.name not in self._not_live
        ]

    def _run(self):
        heartbeats = 0
        while not self._stop.is_set():
            if (
                heartbeats % _HEARTBEATS_PER_LISTING == 0
                or not self.vmlist_loaded.is_set()
            ):
                self._read_list()
            heartbeats += 1
            self.send_heartbeats()
            self._wait_for_heartbeat()

    def _wait_for_heartbeat(self):
        """Wait for the next heartbeat, updating the links when woken."""
        if self._changed.wait(_HEARTBEAT_SECONDS):
            self._changed.clear()
            self._update_links()

    def _wake(self):
        """Wake the thread to update the links to a new owner."""
        self._changed.set()

    def send_heartbeats(self):
        """Send a heartbeat to all sides, and ask one for a later config.

        Asking a single side keeps a large configuration from arriving many
        times over and delaying the store's answers on a slow network: one of
        1,500 routes has 0.3 MB, which 76 sides at once would send for half a
        minute over a link of 5 Mbit/s. Each heartbeat asks another side, in
        case one is slow or unreachable.
        """
        links = self.list_links()
        revision = self._keeper.read().revision if self._keeper else 0
        newer = [
            link
            for link in links
            if link.view.up and link.view.state.config_revision > revision
        ]
        config_source = None
        if self._keeper is not None and newer:
            self._config_requests += 1
            config_source = newer[self._config_requests % len(newer)]
        for link in links:
            link.send_heartbeat(
                revision if link is config_source else NO_CONFIG_WANTED
            )

    def _read_list(self):
        listed = self._vmlist.read()
        if listed.is_ok():
            self._apply_list(listed.ok_value)
            self.vmlist_loaded.set()

    def _apply_list(self, vms):
        """Store the sides on the list and update the links."""
        self._listed_vms = {
            vm.name: vm for vm in vms if vm.role == data.Role.ENDPOINT
        }
        self._not_live = frozenset(
            vm.name
            for vm in self._listed_vms.values()
            if vm.state != data.VmState.LIVE
        )
        self._update_links()

    def _update_links(self):
        """Open links to the selected sides, and close other links.

        A link that is up stays even if the list no longer names its VM: the
        list may be outdated or wrong, and a connection is better evidence.
        A link to a side that is not selected closes once it is idle. The
        threads of closed links end by themselves, as they may be dialling a
        VM that is gone.
        """
        selected = self._select_sides(list(self._listed_vms), self._links)
        links = dict(self._links)
        for name, link in self._links.items():
            vm = self._listed_vms.get(name)
            if vm is None and link.view.up:
                continue
            if vm is None or _has_new_address(link.view.vm, vm):
                del links[name]
                link.stop()
            elif name not in selected and not link.view.sent:
                del links[name]
                link.stop()
        for name in selected:
            if name not in links:
                links[name] = self._open_link(self._listed_vms[name])
        self._links = links

    def _open_link(self, vm):
        link = SideLink(
            vm,
            self._dial,
            self._make_hello,
            self._clock,
            self._record_roster,
            self._keeper,
            self._wake,
        )
        return link.__enter__()


def _select_all(names, links):
    return names


def _has_new_address(known, vm):
    return (known.address, known.port) != (vm.address, vm.port)

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Serves the connections of owners, entries and other sides.

One thread reads each connection. The role in the greeting decides which
messages are accepted; any other message ends the connection.
"""

import concurrent.futures
import dataclasses
import logging
import queue
import threading

import xxhash

from portwharf.core import data
from portwharf.core import logs
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.scheduler import operator_api
from portwharf.side import admission
from portwharf.side import at_most_once

LOG = logging.getLogger(__name__)

_STATE_INTERVAL_SECONDS = 1.0
# Threads for read calls, each of which waits for the owner's lock.
_READ_THREADS = 8
# Larger payloads are refused before they are received.
MAX_PAYLOAD_BYTES = 16 * 1024 * 1024
_COMMANDS = (
    messages.StartTask,
    messages.StopTask,
    messages.ThrottleTask,
    messages.ForgetTasks,
    messages.PressUpdate,
    messages.HeldTasks,
    messages.ClaimUpdate,
)
_MS_PER_SECOND = 1000


class SideServer:
    """Handles all connections to a side."""

    def __init__(self, cfg, instance, clock, guard, keeper, zones):
        """Initialise the server.

        :param cfg: checked ``settings.SideSettings``
        :param instance: identifies this process
        :param guard: the side's ``GrantGuard``
        :param keeper: the ``configuration.ConfigKeeper`` of this process
        :param zones: the ``zones.ZoneKeeper`` of this process
        """
        self._zones = zones
        self._cfg = cfg
        self._instance = instance
        self._clock = clock
        self._guard = guard
        self._keeper = keeper
        self._entries = set()
        self._lock = threading.Lock()
        self._changed = threading.Event()
        self._stop = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _READ_THREADS, 'operation'
        )
        self.at_most_once = at_most_once.AtMostOncePolicy(
            cfg.vm.name, guard, clock
        )
        self._rosters = messages.RosterUpdate()
        self.agent = None
        self.admission = None
        self.find_owner = None
        self.draining = False
        self._thread = threading.Thread(
            target=self._send_states, name='state', daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        self._changed.set()
        self._thread.join()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def record_change(self):
        """Send this side's state to the entries soon."""
        self._changed.set()

    def drain(self):
        """Announce that this side accepts no new requests."""
        self.draining = True
        self.record_change()

    def handle(self, conn):
        """Serve a connection until it ends; for ``streams.Listener``."""
        hello = streams.check_hello(conn.receive())
        if hello.role == 'owner':
            self._serve_owner(conn, hello)
        elif hello.role == 'entry':
            self._serve_entry(conn)
        elif hello.role == 'side':
            self._serve_side(conn)
        else:
            raise streams.PeerError(
                f'unknown role {hello.role}, must be owner, entry or side'
            )

    def make_hello(self):
        """Return this side's greeting."""
        return messages.Hello(
            role='side',
            name=self._cfg.vm.name,
            instance=self._instance,
            shard=self._cfg.vm.shard,
            epoch=self._guard.epoch,
        )

    def _serve_owner(self, conn, hello):
        if hello.shard != self._cfg.vm.shard:
            raise streams.PeerError(
                f'greeting from an owner of another shard: {hello.shard}'
            )
        conn.set_idle(self._cfg.limits.owner_idle)
        self.greet_owner(conn, hello)
        try:
            while True:
                self.take_owner_message(conn, hello, conn.receive())
        finally:
            self.agent.lose_owner(conn)

    def greet_owner(self, conn, hello):
        """Follow an owner that has connected.

        :raises PeerError: a newer owner is known
        """
        accepted = self._guard.accept_owner(hello.epoch, hello.name)
        conn.send(self.make_hello())
        if not accepted:
            raise streams.PeerError(
                'greeting from an owner of an earlier epoch'
            )
        extra = logs.fields(peer=hello.name, epoch=hello.epoch)
        LOG.info('following owner', extra=extra)
        self.agent.take_owner(conn)
        self.record_change()

    def take_owner_message(self, conn, hello, message):
        """Handle one message from the owner that sent the greeting."""
        if isinstance(message, messages.Grant):
            if hello.epoch != message.epoch:
                raise streams.PeerError(
                    'epoch of the grant differs from that of the greeting'
                )
            self._guard.accept_grant(
                message.epoch,
                message.side_ms / _MS_PER_SECOND,
                message.valid,
                message.members_hash,
            )
            self.agent.take_grant(message)
        elif isinstance(message, messages.Resignation):
            if message.epoch == hello.epoch:
                self._guard.accept_resignation(
                    message.epoch, message.successor == self._cfg.vm.name
                )
        elif isinstance(message, messages.RosterUpdate):
            if self.at_most_once.take_update(message, hello.epoch):
                self._rosters = message
                self._send_to_entries(message)
        elif isinstance(message, messages.ConfigUpdate):
            self._keeper.update(message.revision, message.text)
        elif isinstance(message, messages.ClosedZones):
            self._zones.update(message.revision, message.zones)
        elif isinstance(message, _COMMANDS):
            self.agent.command(conn, message)
        else:
            raise streams.ProtocolError(
                f'unexpected message {type(message).__name__}'
            )

    def _serve_side(self, conn):
        """Answer another side's query whether this side hears the owner."""
        conn.send(self.make_hello())
        query = conn.receive()
        if not isinstance(query, messages.OwnerQuery):
            raise streams.ProtocolError(
                f'unexpected message {type(query).__name__}'
            )
        conn.send(
            messages.OwnerAnswer(
                self._guard.epoch,
                self._guard.is_owner_alive(query.epoch),
                self._guard.epoch_unknown,
                not self._guard.has_seen_owner,
            )
        )

    def _serve_entry(self, conn):
        conn.send(self.make_hello())
        conn.send(self._make_state())
        conn.send(self._rosters)
        with self._lock:
            self._entries.add(conn)
        incoming = _Incoming(self, conn)
        try:
            with _ResultSender(conn) as results:
                while True:
                    message = conn.receive()
                    self._take_entry_message(conn, incoming, results, message)
        finally:
            incoming.withdraw_all()
            with self._lock:
                self._entries.discard(conn)

    def _take_entry_message(self, conn, incoming, results, message):
        if isinstance(message, messages.Request):
            incoming.begin(message)
        elif isinstance(message, messages.Chunk):
            incoming.extend(message)
        elif isinstance(message, messages.Withdraw):
            incoming.withdraw(message.id)
        elif isinstance(message, messages.Operation):
            self._dispatch_operation(message, results)
        elif isinstance(message, messages.SideState):
            # An entry's heartbeat keeps an idle connection open and contains
            # its configuration revision. An entry without access to the store
            # gets its configuration this way.
            update = self._keeper.make_update()
            if update.revision > message.config_revision:
                conn.post(update)
        else:
            raise streams.ProtocolError(
                f'unexpected message {type(message).__name__}'
            )

    def _dispatch_operation(self, operation, results):
        """Have the owner carry out a call.

        A write call only queues here, so that calls wait for the owner's next
        pass and never for a thread.
        """
        now = self._clock.read_monotonic()
        if operation.method in operator_api.WRITES:
            self._run_operation(operation, results, now)
        else:
            self._pool.submit(self._run_operation, operation, results, now)

    def _run_operation(self, operation, results, received_at):
        owner = self.find_owner()
        if owner is None:
            results.put(messages.OperationResult(operation.id, 'not-owner'))
            return
        owner.execute_operation(operation, results.put, received_at)

    def submit(self, conn, message, payload, jobs):
        """Admit one complete request.

        :param jobs: map of message id to Job, which keeps the request until it
            is finished
        """
        now = self._clock.read_monotonic()
        job = admission.Job(
            message.request,
            message.service,
            message.excess,
            now + message.left_ms / _MS_PER_SECOND,
            payload,
        )

        def finish(verdict):
            jobs.pop(message.id, None)
            if not message.repeatable:
                self.at_most_once.record(message.request, verdict)
            self._finish(conn, message, verdict)

        job.finish = finish
        refused = self._check_request(message, job)
        if refused is not None:
            self._finish(conn, message, refused)
            return
        jobs[message.id] = job
        self.admission.offer(job)

    def _check_request(self, message, job):
        """Return the verdict of a request to be rejected, or None."""
        if not self._serves(message.service):
            verdict = admission.Verdict(reason=admission.REASON_SERVICE)
            if message.sent_before:
                verdict.outcome = data.Outcome.UNKNOWN
            return verdict
        if message.repeatable:
            return None
        job.may_run = lambda: self.at_most_once.may_run_now(
            message.request, message.service
        )
        return self.at_most_once.admit(
            message.request, message.service, message.sent_before
        )

    def _serves(self, service):
        return self.admission is not None and service in self._list_services()

    def _list_services(self):
        if self._cfg.runner is None:
            return []
        return sorted(set(self._cfg.runner.services) | self.agent.services)

    def _finish(self, conn, message, verdict):
        """Send the outcome of a request to the entry that sent it."""
        payload = verdict.payload
        answer = messages.Answer(
            message.id,
            message.request,
            verdict.outcome,
            verdict.reason,
            verdict.retry_after_ms,
            len(payload),
            xxhash.xxh64_intdigest(payload),
            self.admission.in_flight if self.admission else 0,
            payload[: streams.CHUNK_BYTES],
        )
        try:
            conn.send(answer)
            for at in range(
                streams.CHUNK_BYTES, len(payload), streams.CHUNK_BYTES
            ):
                piece = payload[at : at + streams.CHUNK_BYTES]
                conn.send(messages.Chunk(message.id, piece))
        except streams.PeerError as exc:
            extra = logs.fields(request=message.request)
            LOG.info('answer not delivered: %s', exc, extra=extra)

    def _send_states(self):
        while not self._stop.is_set():
            self._changed.wait(_STATE_INTERVAL_SECONDS)
            self._changed.clear()
            self.agent.config_revision = self._keeper.read().revision
            self._send_to_entries(self._make_state())

    def _send_to_entries(self, message):
        """Send a message to all entries."""
        with self._lock:
            entries = list(self._entries)
        for conn in entries:
            conn.try_post(message)

    def _make_state(self):
        slots = self.admission.slots if self.admission else 0
        in_flight = self.admission.in_flight if self.admission else 0
        return messages.SideState(
            self._list_services(),
            self.draining,
            in_flight,
            slots,
            self._cfg.vm.availability_zone,
            self._cfg.vm.shard,
            self._guard.owner,
            self._guard.epoch,
            self._keeper.read().revision,
        )


class _ResultSender:
    """Sends the results of operations to one entry; a context manager.

    Results come from the owner's threads, and an entry that does not read must
    block none of them.
    """

    def __init__(self, conn):
        self._conn = conn
        self._results = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._run, name=f'results-{conn.peer}', daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        # A send that blocks ends when the connection is closed.
        self._results.put(None)

    def put(self, message):
        """Send a result soon, unless the connection is closed before."""
        self._results.put(message)

    def _run(self):
        while True:
            message = self._results.get()
            if message is None or not self._conn.try_send(message):
                return


@dataclasses.dataclass(slots=True)
class _Partial:
    """A request whose payload is not complete yet."""

    message: messages.Request = None
    pieces: list = dataclasses.field(default_factory=list)
    size: int = 0


class _Incoming:
    """The requests of one entry connection."""

    def __init__(self, server, conn):
        self._server = server
        self._conn = conn
        self._partial = {}
        self._jobs = {}

    def begin(self, message):
        """Take a request with the first part of its payload, or all of it."""
        if message.size > MAX_PAYLOAD_BYTES:
            raise streams.PeerError('payload of a request is over 16 MiB')
        partial = _Partial(message)
        self._partial[message.id] = partial
        self._add(partial, message.payload)

    def extend(self, chunk):
        """Take the next part of a request's payload."""
        partial = self._partial.get(chunk.id)
        if partial is not None:
            self._add(partial, chunk.payload)

    def withdraw(self, message_id):
        """Cancel a request whose caller has gone, unless it runs already."""
        self._partial.pop(message_id, None)
        job = self._jobs.pop(message_id, None)
        if job is not None:
            job.withdrawn = True

    def withdraw_all(self):
        """Cancel all requests of an entry that has disconnected."""
        for message_id in list(self._jobs):
            self.withdraw(message_id)

    def _add(self, partial, piece):
        partial.pieces.append(piece)
        partial.size += len(piece)
        if partial.size < partial.message.size:
            return
        message = partial.message
        del self._partial[message.id]
        payload = b''.join(partial.pieces)
        self._server.submit(self._conn, message, payload, self._jobs)

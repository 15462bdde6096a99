# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Entries' calls to a side's owner, and entries that do not read."""

import dataclasses
import queue
import threading

from portwharf.core import codec
from portwharf.core import data
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.peers import streams_test
from portwharf.scheduler import batches
from portwharf.scheduler import job_operations
from portwharf.scheduler import jobs_test
from portwharf.scheduler import operations
from portwharf.scheduler import pending_calls
from portwharf.testing import cluster

WAIT_SECONDS = 10


class EntryConnection:
    """An entry's end of a connection to a side, without a socket.

    :ivar reads: cleared while the entry reads nothing
    """

    def __init__(self):
        self.to_side = queue.Queue()
        self.results = queue.Queue()
        self.reads = threading.Event()
        self.reads.set()
        self.peer = 'entry'

    def receive(self):
        """Return the next message to the side; None closes."""
        message = self.to_side.get()
        if message is None:
            raise streams.PeerError('closed')
        return message

    def send(self, message):
        """Keep a result of an operation, once the entry reads."""
        if isinstance(message, messages.OperationResult):
            self.reads.wait(WAIT_SECONDS)
            self.results.put(message)

    def try_send(self, message):
        """Keep a result of an operation, once the entry reads."""
        self.send(message)
        return True


def connect(case, node):
    """Connect an entry to a node's side, whose owner is the node's."""
    node.server.find_owner = lambda: node.owner
    conn = EntryConnection()
    conn.to_side.put(messages.Hello(role='entry', name='entry-1'))

    def serve():
        try:
            node.server.handle(conn)
        except streams.PeerError:
            pass

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()

    def close():
        conn.to_side.put(None)
        thread.join()

    conn.close = close
    case.addCleanup(close)
    return conn


def make_owner(case):
    """Return a cluster, its owner's node and an entry's connection to it."""
    made = cluster.Cluster()
    made.run(2)
    node = made.nodes[0]
    return made, node, connect(case, node)


def make_submission(number, left_ms=0):
    """Return the call that submits a job of one task."""
    step = jobs_test.make_step()
    job = dataclasses.replace(jobs_test.make_job(step), id=make_job_id(number))
    body = codec.pack(job_operations.JobSubmission(job))
    return messages.Operation(number, 'submit-job', body, left_ms)


def make_job_id(number):
    """Return the id of the job of this number."""
    return f'{number:016x}'


def make_cancellation(number, left_ms=0):
    """Return the call that cancels the job of this number."""
    body = codec.pack(operations.Query(make_job_id(number)))
    return messages.Operation(1000 + number, 'cancel-job', body, left_ms)


def wait_for_calls(owner, count):
    """Return the owner's queued items once there are ``count`` calls."""
    items = []
    while count:
        items.append(owner._inbox.get(timeout=WAIT_SECONDS))
        count -= isinstance(items[-1], batches.OperatorCall)
    return items


def list_results(conn, count):
    """Return the statuses of the next ``count`` results, by number."""
    results = [conn.results.get(timeout=WAIT_SECONDS) for _ in range(count)]
    return {one.id: one.status for one in results}


def accept_job(node, conn, number):
    """Have the owner accept the job of this number."""
    conn.to_side.put(make_submission(number))
    node.owner.step(wait_for_calls(node.owner, 1))
    return conn.results.get(timeout=WAIT_SECONDS)


def test_call_given_up_by_its_caller_is_not_carried_out(case):
    made, node, conn = make_owner(case)
    conn.to_side.put(make_submission(1, left_ms=500))
    items = wait_for_calls(node.owner, 1)
    made.time.advance(1)
    with case.assertLogs('portwharf.scheduler.decisionlog') as logged:
        node.owner.step(items)
    answer = conn.results.get(timeout=WAIT_SECONDS)
    case.assertEqual(answer.status, 'refused')
    case.assertEqual(answer.problems[0].code, 'not-accepted')
    case.assertEqual(made.read_state().jobs, {})
    case.assertEqual(len(logged.records), 1)
    case.assertEqual(logged.records[0].count, 1)


def test_call_of_a_waiting_caller_is_carried_out(case):
    made, node, conn = make_owner(case)
    conn.to_side.put(make_submission(1, left_ms=1500))
    items = wait_for_calls(node.owner, 1)
    made.time.advance(1)
    node.owner.step(items)
    answer = conn.results.get(timeout=WAIT_SECONDS)
    case.assertEqual(answer.status, 'ok')
    case.assertIn(make_job_id(1), made.read_state().jobs)


def test_call_of_an_older_entry_has_no_deadline(case):
    made, node, conn = make_owner(case)
    conn.to_side.put(make_submission(1))
    items = wait_for_calls(node.owner, 1)
    made.time.advance(1.5)
    node.owner.step(items)
    answer = conn.results.get(timeout=WAIT_SECONDS)
    case.assertEqual(answer.status, 'ok')


def test_call_that_waited_for_a_thread_too_long_is_not_queued(case):
    _, node, _ = make_owner(case)
    now = node.clock.read_monotonic()
    for operation in (
        make_submission(1, left_ms=500),
        messages.Operation(2, 'list-workloads', b'\x80', 500),
    ):
        results = []
        node.owner.execute_operation(operation, results.append, now - 1)
        (answer,) = results
        case.assertEqual(answer.status, 'refused')
        case.assertEqual(answer.problems[0].code, 'not-accepted')
    case.assertEqual(node.owner.take_items(), [])


def test_read_that_waited_for_a_pass_too_long_is_refused(case):
    made, node, conn = make_owner(case)
    reading = threading.Event()
    owner = node.owner
    confirm = owner.is_confirmed

    def confirm_and_signal():
        reading.set()
        return confirm()

    owner.is_confirmed = confirm_and_signal
    with owner._lock:
        conn.to_side.put(messages.Operation(1, 'list-workloads', b'\x80', 500))
        case.assertTrue(reading.wait(WAIT_SECONDS))
        made.time.advance(1)
    case.assertEqual(list_results(conn, 1), {1: 'refused'})


def test_cancellation_is_carried_out_for_a_caller_that_gave_up(case):
    made, node, conn = make_owner(case)
    case.assertEqual(accept_job(node, conn, 1).status, 'ok')
    conn.to_side.put(make_cancellation(1, left_ms=500))
    items = wait_for_calls(node.owner, 1)
    made.time.advance(1)
    node.owner.step(items)
    answer = conn.results.get(timeout=WAIT_SECONDS)
    case.assertEqual(answer.status, 'ok')
    case.assertTrue(made.read_state().jobs[make_job_id(1)].cancelled)


def test_cancellation_is_carried_out_after_its_time_limit(case):
    made, node, conn = make_owner(case)
    case.assertEqual(accept_job(node, conn, 1).status, 'ok')
    conn.to_side.put(make_cancellation(1))
    items = wait_for_calls(node.owner, 1)
    made.time.advance(2 * pending_calls.CALL_TIMEOUT_SECONDS)
    node.owner._operator_api._pending.expire()
    conn.results.get(timeout=WAIT_SECONDS)
    node.owner.step(items)
    case.assertTrue(made.read_state().jobs[make_job_id(1)].cancelled)


def test_cancellation_is_logged_the_first_time(case):
    made, node, conn = make_owner(case)
    accept_job(node, conn, 1)
    with case.assertLogs('portwharf.scheduler.decisionlog') as watched:
        for _ in range(2):
            conn.to_side.put(make_cancellation(1))
            node.owner.step(wait_for_calls(node.owner, 1))
            conn.results.get(timeout=WAIT_SECONDS)
    logged = [
        (one.request, one.count)
        for one in watched.records
        if one.getMessage() == 'job cancelled'
    ]
    case.assertEqual(logged, [(make_job_id(1), 1)])


def test_all_waiting_calls_are_answered_after_one_pass(case):
    made, node, conn = make_owner(case)
    numbers = range(1, 31)
    for number in numbers:
        conn.to_side.put(make_submission(number))
    node.owner.step(wait_for_calls(node.owner, len(numbers)))
    statuses = list_results(conn, len(numbers))
    case.assertEqual(statuses, dict.fromkeys(numbers, 'ok'))
    jobs = {make_job_id(number) for number in numbers}
    case.assertEqual(set(made.read_state().jobs), jobs)


def test_entry_that_does_not_read_holds_up_nobody_else(case):
    _, node, slow = make_owner(case)
    slow.reads.clear()
    for number in range(1, 11):
        slow.to_side.put(make_submission(number))
    items = wait_for_calls(node.owner, 10)
    other = connect(case, node)
    other.to_side.put(make_submission(11))
    other.to_side.put(messages.Operation(12, 'list-workloads', b'\x80'))
    node.owner.step(items + wait_for_calls(node.owner, 1))
    case.assertEqual(list_results(other, 2), {11: 'ok', 12: 'ok'})
    case.assertTrue(slow.results.empty())
    slow.reads.set()
    case.assertEqual(len(list_results(slow, 10)), 10)


def test_call_is_carried_out_after_its_connection_is_lost(case):
    made, node, conn = make_owner(case)
    conn.to_side.put(make_submission(1))
    items = wait_for_calls(node.owner, 1)
    conn.close()
    node.owner.step(items)
    case.assertIn(make_job_id(1), made.read_state().jobs)


def test_waiting_calls_are_refused_while_an_append_is_stalled(case):
    made, node, conn = make_owner(case)
    conn.to_side.put(make_submission(1))
    made.fake.faults.down = True
    node.owner.step(wait_for_calls(node.owner, 1))
    for number in range(2, 32):
        conn.to_side.put(make_submission(number))
    for item in wait_for_calls(node.owner, 30):
        node.owner.take_call(item)
    node.owner.serve_stalled()
    statuses = list_results(conn, 30)
    case.assertEqual(statuses, dict.fromkeys(range(2, 32), 'refused'))
    made.fake.faults.down = False
    node.owner.step()
    case.assertEqual(list_results(conn, 1), {1: 'ok'})
    case.assertEqual(list(made.read_state().jobs), [make_job_id(1)])


def test_job_that_may_be_logged_is_not_refused_when_sent_again(case):
    """While its append is stalled, and when its owner ends."""
    made, node, conn = make_owner(case)
    conn.to_side.put(make_submission(1))
    items = wait_for_calls(node.owner, 1)
    made.fake.faults.down = True
    case.assertIs(node.owner.step(items), batches.StepResult.STALLED)
    again = dataclasses.replace(make_submission(1), id=2)
    conn.to_side.put(again)
    for item in wait_for_calls(node.owner, 1):
        node.owner.take_call(item)
    node.owner.serve_stalled()
    case.assertEqual(list_results(conn, 1), {2: 'unknown'})
    made.time.advance(1)
    conn.to_side.put(dataclasses.replace(again, id=3))
    case.assertEqual(list_results(conn, 1), {3: 'unknown'})
    made.fake.faults.down = False
    case.assertIs(node.owner.step(), batches.StepResult.DONE)
    case.assertEqual(list_results(conn, 1), {1: 'ok'})
    conn.to_side.put(dataclasses.replace(again, id=4))
    for item in wait_for_calls(node.owner, 1):
        node.owner.take_call(item)
    node.owner._refuse_inbox()
    case.assertEqual(list_results(conn, 1), {4: 'unknown'})
    case.assertIn(make_job_id(1), made.read_state().jobs)


def test_entry_that_does_not_read_does_not_hold_up_grants(case):
    """The thread that reads the owner's grants tells entries of rosters."""
    made = cluster.Cluster(2)
    server = made.nodes[0].server
    entry, _ = streams_test.make_slow_pair(case)
    owner, _ = streams_test.make_slow_pair(case)
    server._entries.add(entry)
    hello = messages.Hello(role='owner', epoch=1)
    services = [data.ServiceRoster(f'team/{n}') for n in range(1000)]

    done = threading.Event()

    def take_rosters():
        for seq in range(1, 30):
            roster = data.Roster(seq, 0, services)
            update = messages.RosterUpdate(history=[roster])
            server.take_owner_message(owner, hello, update)
        done.set()

    threading.Thread(target=take_rosters, daemon=True).start()
    case.assertTrue(done.wait(8))


def test_owner_may_send_claims(case):
    """A side closes the connection upon a message that it does not expect."""
    made, node, _ = make_owner(case)
    link = node.owner.list_links()[0]
    side = made.find(link.name)
    taken = []
    side.server.agent.command = lambda _, message: taken.append(message)
    update = messages.ClaimUpdate([messages.StepClaim('a.0.0', 2.0)])
    hello = node.owner.make_hello()
    side.server.take_owner_message(link.pipe.side, hello, update)
    case.assertEqual(taken, [update])

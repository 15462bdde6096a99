# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Calls of an entry to the owner of a shard."""

from unittest import mock

from portwharf.core import clock
from portwharf.core import codec
from portwharf.core import data
from portwharf.entry import owner_client
from portwharf.entry import side_links
from portwharf.peers import messages
from portwharf.scheduler import operations


class OwnerConnection:
    """A connection to an owner that answers as the test says."""

    def __init__(self, link, answer):
        self._link = link
        self._answer = answer
        self.sent = []

    def post(self, message):
        """Keep a call, and handle its answer if there is one."""
        self.sent.append(message)
        answer = self._answer(message)
        if answer is not None:
            self._link.handle(self, answer)


class Links:
    """A table of one link."""

    def __init__(self, link):
        self.link = link

    def list_links(self):
        """Return the link."""
        return [self.link]


def open_client(answer):
    """Return a client, its link to the owner and the link's connection.

    :param answer: returns the answer to an operation, or None for none
    """
    vm = data.Vm('vm-1')
    link = side_links.SideLink(vm, None, None, clock.SystemClock())
    link.view.state = messages.SideState(owner='vm-1', epoch=1)
    conn = OwnerConnection(link, answer)
    link._conn = conn
    link.attach(conn, None)
    client = owner_client.OwnerClient(Links(link), clock.SystemClock())
    return client, link, conn


def accept(operation):
    """Return the answer of an owner that accepts a call."""
    body = codec.pack(operations.Accepted('job', True))
    return messages.OperationResult(operation.id, 'ok', body)


def call(client, seconds=None):
    """Make a writing call."""
    query = operations.Query('job')
    return client.call(0, 'cancel', query, operations.Accepted, seconds)


def test_owner_is_told_how_long_the_caller_waits(case):
    client, _, conn = open_client(accept)
    case.assertTrue(call(client, 1.35).is_ok())
    case.assertTrue(call(client).is_ok())
    within, default = (sent.left_ms for sent in conn.sent)
    case.assertTrue(0 < within <= 1350)
    case.assertTrue(1350 < default < 10_000)


def check_nothing_pending(case, link):
    """Check that a link waits for no answer."""
    case.assertEqual(link.view.sent, 0)
    later = clock.SystemClock().read_monotonic() + 60
    case.assertEqual(link.measure_oldest_age(later), 0)


def test_call_without_an_answer_is_forgotten(case):
    client, link, conn = open_client(lambda operation: None)
    (problem,) = call(client, 0.05).err_value
    case.assertEqual(problem.code, owner_client.NO_ANSWER)
    check_nothing_pending(case, link)
    link.handle(conn, accept(conn.sent[0]))
    check_nothing_pending(case, link)


def test_answer_is_not_held_back_once_the_time_of_a_call_is_over(case):
    client, _, _ = open_client(lambda operation: None)
    pause = client._pause = mock.Mock()
    call(client, 0.05)
    case.assertEqual(pause.wait.mock_calls, [mock.call(0.0)])


def test_call_to_a_former_owner_is_forgotten(case):
    def lose_owner(operation):
        link.view.state = messages.SideState(owner='vm-2', epoch=2)

    client, link, conn = open_client(lose_owner)
    (problem,) = call(client, 0.5).err_value
    case.assertEqual(problem.code, owner_client.NO_ANSWER)
    case.assertEqual(len(conn.sent), 1)
    check_nothing_pending(case, link)


def refuse(operation, code=owner_client.NOT_ACCEPTED):
    """Return the answer of an owner that refuses a call."""
    problems = [data.Problem(code)]
    return messages.OperationResult(operation.id, 'refused', b'', problems)


def test_refusal_by_an_owner_differs_from_the_lack_of_one(case):
    client, link, _ = open_client(refuse)
    (problem,) = call(client).err_value
    case.assertEqual(problem.code, owner_client.NOT_ACCEPTED)
    link.view.up = False
    (problem,) = call(client, 0.05).err_value
    case.assertEqual(problem.code, owner_client.NO_OWNER)


def test_refusal_after_a_lost_answer_does_not_deny_the_call(case):
    for code in (owner_client.NOT_ACCEPTED, owner_client.NO_ROOM):
        check_refusal_after_lost_answer(case, code)


def check_refusal_after_lost_answer(case, code):
    """Check that a refused second attempt leaves the outcome unknown."""

    def lose_first_answer(operation):
        if len(conn.sent) == 1:
            link.view.state = messages.SideState(owner='vm-2', epoch=2)
            return None
        return refuse(operation, code)

    client, link, conn = open_client(lose_first_answer)
    find = client.find_owner

    def find_owner(shard):
        found = find(shard)
        link.view.state = messages.SideState(owner='vm-1', epoch=3)
        return found

    client.find_owner = find_owner
    (problem,) = call(client).err_value
    case.assertEqual(problem.code, owner_client.NO_ANSWER)
    case.assertEqual(len(conn.sent), 2)

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The checks of the fault runs."""

import random

import result

from portwharf.testing import faults
from portwharf.testing import programs
from portwharf.v1 import callers_pb

ID = '5c0e7a21d94b36f8'


class FakeDeployment:
    """A deployment without processes."""

    entries = ('127.0.0.1:1',)
    processes = ()


class FakeClient:
    """An entry that answers a retry only, with the answer to a payload.

    :ivar payloads: the payloads received
    """

    def __init__(self, choose_payload):
        self.payloads = []
        self._choose_payload = choose_payload

    def call(self, service, method, req, cls):
        """Record a payload and return the response."""
        self.payloads.append(req.payload)
        response = cls(id=req.id, outcome=callers_pb.Outcome.UNKNOWN)
        if req.sent_before:
            response.outcome = callers_pb.Outcome.ANSWERED
            response.payload = programs.answer_request(
                'lens/fit-check', self._choose_payload(self.payloads)
            )
        return result.Ok(response)


def send_twice(choose_payload):
    """Send a request and its retry; returns the ``faults.SentRequest``."""
    run = faults.FaultRun(FakeDeployment(), 1)
    client = FakeClient(choose_payload)
    run._clients = [client]
    sent = faults.SentRequest(ID)
    rng = random.Random(1)
    run._send(sent, rng)
    run._send(sent, rng, is_retry=True)
    first, second = client.payloads
    assert first != second
    return sent


def test_retry_may_get_the_answer_to_either_sending(case):
    case.assertFalse(send_twice(lambda payloads: payloads[0]).wrong)
    case.assertFalse(send_twice(lambda payloads: payloads[1]).wrong)


def test_retry_with_another_answer_is_a_problem(case):
    other = b'{"bridge_mm": 9, "nose_mm": 0, "frame_mm": 1, "face_mm": 1}'
    case.assertTrue(send_twice(lambda _: other).wrong)

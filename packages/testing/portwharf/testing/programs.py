# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Deterministic programs that the fake workers and runners execute.

A request program maps a payload to an answer. A task program is a sequence
of steps whose state can be checkpointed and resumed. The results depend on
every byte of the input and on every step, so that a test can verify them.
"""

import hashlib
import json

CHECK_ROUNDS = 200
MODULUS = (1 << 61) - 1


def answer_request(service, payload):
    """Return the answer of a service to a request.

    :param service: ``team/name``
    :param payload: JSON, as bytes
    :returns: JSON with the verdict and a proof of the payload, as bytes
    :raises ValueError: the payload is not JSON
    :raises KeyError: the payload lacks a field that this service needs
    """
    value = json.loads(payload)
    digest = hashlib.sha256(payload).digest()
    for _ in range(CHECK_ROUNDS):
        digest = hashlib.sha256(digest + payload).digest()
    name = service.rpartition('/')[2]
    verdict = _EVALUATORS.get(name, _evaluate_other)(value)
    answer = {'verdict': verdict, 'proof': digest.hex()}
    return json.dumps(answer, sort_keys=True).encode()


def make_step(state, number):
    """Return a task's state after the step of this number."""
    return (state * 6364136223846793005 + number + 1442695040888963407) % (
        MODULUS
    )


def compute_task(seed, steps):
    """Return the result of a task after all its steps."""
    state = seed
    for number in range(steps):
        state = make_step(state, number)
    return state


def _evaluate_fit(value):
    bridge_gap = abs(value['bridge_mm'] - value['nose_mm'])
    width_gap = abs(value['frame_mm'] - value['face_mm'])
    return 'fits' if bridge_gap <= 2 and width_gap <= 4 else 'does not fit'


def _evaluate_gauge(value):
    if value['stage_cm'] >= value['flood_cm']:
        return 'flood'
    return 'watch' if value['stage_cm'] >= value['alert_cm'] else 'normal'


def _evaluate_other(value):
    return 'done'


_EVALUATORS = {'fit-check': _evaluate_fit, 'gauge-check': _evaluate_gauge}

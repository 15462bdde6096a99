# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Real work for the stand-ins, with answers that can be checked.

Each request program maps a payload to an answer; each task program is a
sequence of steps whose state can be saved and taken up again. The answers
depend on every byte of the input and on every step.
"""

import hashlib
import json

CHECK_ROUNDS = 200
MODULUS = (1 << 61) - 1


def answer_request(service, payload):
    """Return the answer of a service to a request.

    :raises ValueError: the payload is not one for this service
    """
    value = json.loads(payload)
    digest = hashlib.sha256(payload).digest()
    for _ in range(CHECK_ROUNDS):
        digest = hashlib.sha256(digest + payload).digest()
    name = service.rpartition('/')[2]
    verdict = _JUDGES.get(name, _judge_nothing)(value)
    answer = {'verdict': verdict, 'proof': digest.hex()}
    return json.dumps(answer, sort_keys=True).encode()


def make_step(state, number):
    """Return a task's state after its next step."""
    return (state * 6364136223846793005 + number + 1442695040888963407) % (
        MODULUS
    )


def compute_task(seed, steps):
    """Return what a task of so many steps comes to."""
    state = seed
    for number in range(steps):
        state = make_step(state, number)
    return state


def _judge_fit(value):
    gap = abs(value['bridge_mm'] - value['nose_mm'])
    wide = abs(value['frame_mm'] - value['face_mm'])
    return 'fits' if gap <= 2 and wide <= 4 else 'does not fit'


def _judge_gauge(value):
    if value['stage_cm'] >= value['flood_cm']:
        return 'flood'
    return 'watch' if value['stage_cm'] >= value['alert_cm'] else 'normal'


def _judge_nothing(value):
    return 'done'


_JUDGES = {'fit-check': _judge_fit, 'gauge-check': _judge_gauge}

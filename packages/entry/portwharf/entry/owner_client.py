# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Finds the owner of a shard and sends calls to it.

The owner is the one of the highest epoch that the sides report. All calls
are idempotent (a submission by its key, the others by their meaning), so
that a call whose answer is lost is sent again until its timeout.
"""

import threading

import result

from portwharf.core import codec
from portwharf.core import data
from portwharf.peers import messages

CALL_TIMEOUT_SECONDS = 10.0
_ATTEMPT_TIMEOUT_SECONDS = 9.0
_RETRY_DELAY_SECONDS = 0.1
# Interval of checks that a called owner is still the owner.
_OWNER_CHECK_SECONDS = 0.2
_MS_PER_SECOND = 1000

NOT_ACCEPTED = 'not-accepted'
# A job was refused for lack of capacity.
NO_ROOM = 'no-room'
OUTCOME_UNKNOWN = 'outcome-unknown'
UNKNOWN_ID = 'unknown-id'
# Codes of problems that an entry finds, where the others come from an owner.
NO_OWNER = 'no-owner'
NO_ANSWER = 'no-answer'


class OwnerClient:
    """Sends calls to owners over an entry's links."""

    def __init__(self, links, clock):
        """Create a client; ``links`` is a ``side_links.LinkTable``."""
        self._links = links
        self._clock = clock
        self._pause = threading.Event()

    def call(
        self,
        shard,
        method,
        arguments,
        answer_class,
        timeout_seconds=None,
        find_timeout_seconds=None,
    ):
        """Call the owner of a shard, and again if the owner changes.

        :param timeout_seconds: for the whole call; None for the default
        :param find_timeout_seconds: how long to look for an owner while
            nothing has been sent; None for the timeout of the call
        :returns: Ok(instance of answer_class), or Err(list of Problems)
        """
        began = self._clock.read_monotonic()
        deadline = began + (timeout_seconds or CALL_TIMEOUT_SECONDS)
        body = codec.pack(arguments)
        maybe_received = False
        while True:
            left = deadline - self._clock.read_monotonic()
            limit_seconds = (
                timeout_seconds if maybe_received else find_timeout_seconds
            )
            now = self._clock.read_monotonic()
            if left <= 0 or (limit_seconds and now - began > limit_seconds):
                return result.Err(
                    [_make_unserved_problem(shard, maybe_received)]
                )
            exchange = self._call_once(shard, method, body, left)
            answer = exchange.answer if exchange else None
            if answer is not None and answer.status == 'ok':
                return result.Ok(codec.unpack(answer_class, answer.body))
            if answer is not None and answer.status != 'not-owner':
                return result.Err(
                    _resolve_refusal(answer.problems, shard, maybe_received)
                )
            maybe_received = maybe_received or (
                exchange is not None and answer is None
            )
            left = deadline - self._clock.read_monotonic()
            self._pause.wait(max(0.0, min(left, _RETRY_DELAY_SECONDS)))

    def find_owner(self, shard):
        """Return the link to a shard's owner, or None."""
        links = [
            link
            for link in self._links.list_links()
            if link.view.up and link.view.state.shard == shard
        ]
        if not links:
            return None
        latest = max(links, key=lambda link: link.view.state.epoch)
        owner = latest.view.state.owner
        return next((link for link in links if link.name == owner), None)

    def _call_once(self, shard, method, body, left):
        """Send a call to the present owner once and wait for its answer.

        :returns: the exchange, ended or not, or None if nothing was sent
        """
        link = self.find_owner(shard)
        if link is None:
            return None
        wait_seconds = min(left, _ATTEMPT_TIMEOUT_SECONDS)
        deadline = self._clock.read_monotonic() + wait_seconds
        # 0 would mean that the time is unknown.
        left_ms = max(1, int(wait_seconds * _MS_PER_SECOND))
        operation = messages.Operation(0, method, body, left_ms)
        exchange = link.send_request(operation)
        if exchange is None:
            return None
        while True:
            now = self._clock.read_monotonic()
            wait = max(0.0, min(_OWNER_CHECK_SECONDS, deadline - now))
            if exchange.wait(wait):
                break
            now = self._clock.read_monotonic()
            if now >= deadline or self.find_owner(shard) is not link:
                # A paused owner keeps its connection while another one has
                # taken over.
                link.forget(operation)
                break
        return exchange


def _resolve_refusal(problems, shard, maybe_received):
    """Return the problems of a call that the owner refused.

    If an earlier attempt got no answer, "not accepted" and "no room" turn into
    "no answer": this attempt changed nothing, but the earlier one may have.
    """
    refused = any(
        problem.code in (NOT_ACCEPTED, NO_ROOM) for problem in problems
    )
    if maybe_received and refused:
        return [_make_unserved_problem(shard, True)]
    return problems


def _make_unserved_problem(shard, maybe_received):
    if maybe_received:
        return data.Problem(
            NO_ANSWER,
            text=f'no answer from the owner of shard {shard}',
            remedy='send the same call with the same key again',
        )
    return data.Problem(
        NO_OWNER,
        text=f'shard {shard} has no owner now; nothing was changed',
        remedy='send the same call again in some seconds',
    )

# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Finds the owner of a shard and has it carry a call out.

An owner is found by what the sides say of themselves; of several the
highest epoch counts. Every call may be sent twice without harm (a
submission by its key, the others by what they mean), so that a call whose
answer is lost is sent again until its time is up.
"""

import threading

import result

from portwharf.core import codec
from portwharf.core import data
from portwharf.peers import messages

CALL_SECONDS = 10.0
_ATTEMPT_SECONDS = 9.0
_PAUSE_SECONDS = 0.1
# How often to look whether the owner that was asked is still the owner.
_LOOK_SECONDS = 0.2

NOT_ACCEPTED = 'not-accepted'
OUTCOME_UNKNOWN = 'outcome-unknown'
UNKNOWN_ID = 'unknown-id'


class OwnerCalls:
    """Calls to owners, over an entry's links."""

    def __init__(self, links, clock):
        """Take the entry's ``sides.LinkTable`` and a clock."""
        self._links = links
        self._clock = clock
        self._pause = threading.Event()

    def call(
        self,
        shard,
        method,
        arguments,
        answer_class,
        seconds=None,
        find_seconds=None,
    ):
        """Call one shard's owner, and again if it changes under way.

        :param seconds: how long to try; None for the usual time
        :param find_seconds: how long to look for an owner while nothing
            has been sent; None for as long as all
        :returns: Ok(instance of answer_class), or Err(list of Problems)
        """
        began = self._clock.read_monotonic()
        deadline = began + (seconds or CALL_SECONDS)
        body = codec.pack(arguments)
        sent = False
        while True:
            left = deadline - self._clock.read_monotonic()
            patience = seconds if sent else find_seconds
            now = self._clock.read_monotonic()
            if left <= 0 or (patience and now - began > patience):
                return result.Err([_describe_no_owner(shard, sent)])
            exchange = self._send(shard, method, body, left)
            answer = exchange.answer if exchange else None
            if answer is not None and answer.status == 'ok':
                return result.Ok(codec.unpack(answer_class, answer.body))
            if answer is not None and answer.status != 'not-owner':
                return result.Err(_settle(answer.problems, shard, sent))
            sent = sent or (exchange is not None and answer is None)
            self._pause.wait(min(left, _PAUSE_SECONDS))

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

    def _send(self, shard, method, body, left):
        """Send a call to a shard's owner once; the exchange or None."""
        link = self.find_owner(shard)
        if link is None:
            return None
        operation = messages.Operation(0, method, body)
        exchange = link.begin(operation)
        if exchange is None:
            return None
        deadline = self._clock.read_monotonic() + min(left, _ATTEMPT_SECONDS)
        while True:
            now = self._clock.read_monotonic()
            wait = max(0.0, min(_LOOK_SECONDS, deadline - now))
            if exchange.wait(wait):
                break
            now = self._clock.read_monotonic()
            if now >= deadline or self.find_owner(shard) is not link:
                # A paused owner keeps its connection; another has followed.
                break
        return exchange


def _settle(problems, shard, sent):
    """Return what a refusal means after an earlier sending was lost.

    That this sending changed nothing says nothing about the earlier one.
    """
    refused = any(problem.code == NOT_ACCEPTED for problem in problems)
    if sent and refused:
        return [_describe_no_owner(shard, True)]
    return problems


def _describe_no_owner(shard, sent):
    if sent:
        return data.Problem(
            OUTCOME_UNKNOWN,
            text=f'no answer from the owner of shard {shard}',
            remedy='send the same call with the same key again',
        )
    return data.Problem(
        NOT_ACCEPTED,
        text=f'shard {shard} has no owner now; nothing was changed',
        remedy='send the same call again in some seconds',
    )

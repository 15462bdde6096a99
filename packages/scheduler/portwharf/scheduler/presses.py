# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How much what fills a VM slows what serves on it, pair by pair.

For a serving image and a filling image the logarithm of the server's tail
grows by ``press`` times the share of the VM's processors that the filling
tasks use. The load of a server swings by itself, but slowly: so differences
between two measurements half a second apart are learnt from, in which what
began, ended or was paced between them shows and the load hardly does.

A side learns from its own VM and tells its owner, who puts the estimates
of all sides together and tells them to all.
"""

import collections
import dataclasses

from portwharf.peers import messages

# Taken for a pair that nothing is known of: a press between the light and
# the heavy ones that were measured.
UNKNOWN_PRESS = 3.0
# No pair is believed to press more than this.
MAX_PRESS = 40.0
# How far an estimate moves towards what one difference says.
_RATE = 0.5
# Differences of processors smaller than this share say too little.
LEAST_DIFFERENCE = 0.02
# The weight of experience is bounded, so that estimates can still move.
_MAX_WEIGHT = 2.0


class Presses:
    """Estimates by pair, from own experience and from others'."""

    def __init__(self):
        self._own = {}
        self._told = {}
        self._news = set()

    def find(self, serving, filling):
        """Return the press of a pair, the best that is known."""
        own = self._own.get((serving, filling))
        told = self._told.get((serving, filling))
        if own is None and told is None:
            return UNKNOWN_PRESS
        if own is None:
            return told.press
        if told is None:
            return own.press
        weight = own.weight + told.weight
        total = own.press * own.weight + told.press * told.weight
        return total / weight if weight else own.press

    def is_known(self, serving, filling):
        """Tell whether anybody has any experience of a pair."""
        name = (serving, filling)
        return name in self._own or name in self._told

    def learn(self, serving, differences, growth):
        """Learn from what changed between two measurements.

        :param differences: map of filling image to the change of the share
            of processors that it uses
        :param growth: change of the logarithm of the server's tail
        """
        square = sum(d * d for d in differences.values())
        if square < LEAST_DIFFERENCE**2:
            return
        expected = sum(
            self.find(serving, filling) * d
            for filling, d in differences.items()
        )
        error = growth - expected
        for filling, difference in differences.items():
            if not difference:
                continue
            name = (serving, filling)
            one = self._own.get(name)
            if one is None:
                known = self.find(serving, filling)
                one = self._own[name] = messages.Press(serving, filling, known)
            step = _RATE * error * difference / square
            one.press = min(MAX_PRESS, max(0.0, one.press + step))
            weight = one.weight + difference * difference
            one.weight = min(_MAX_WEIGHT, weight)
            self._news.add(name)

    def take_news(self):
        """Return the own estimates that changed since the last time."""
        news = [dataclasses.replace(self._own[name]) for name in self._news]
        self._news.clear()
        return news

    def take_told(self, told):
        """Take the estimates of others."""
        for one in told:
            self._told[(one.serving, one.filling)] = one


class Pool:
    """The owner's: the estimates of all sides, put together."""

    def __init__(self):
        self.presses = Presses()
        self._by_pair = collections.defaultdict(dict)
        self._news = set()

    def take(self, side, estimates):
        """Take what a side has learnt."""
        for one in estimates:
            name = (one.serving, one.filling)
            self._by_pair[name][side] = one
            self._news.add(name)
        if estimates:
            self.presses.take_told(self._merge(self._news))

    def take_news(self):
        """Return the joint estimates that changed since the last time."""
        merged = self._merge(self._news)
        self._news.clear()
        return merged

    def list_all(self):
        """Return all joint estimates, for a side that is new."""
        return self._merge(self._by_pair)

    def _merge(self, names):
        merged = []
        for name in names:
            rows = self._by_pair[name].values()
            weight = sum(one.weight for one in rows)
            total = sum(one.press * one.weight for one in rows)
            press = total / weight if weight else UNKNOWN_PRESS
            merged.append(messages.Press(*name, press, weight))
        return merged

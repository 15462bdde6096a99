# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Shares out the headroom of serving tasks to the filling tasks of a VM.

The filling task that ranks first gets what its share costs, then the next
one. Each keeps at least ``LEAST``, so that it ends eventually.
"""

import dataclasses

from portwharf.side import share_limits

FULL = 100
# The least share of a filling task, in percent.
LEAST = 3


@dataclasses.dataclass(slots=True)
class Share:
    """The CPU share of a filling attempt.

    :param percent: the share
    :param limit: what it is limited by, a name of ``share_limits``
    """

    percent: int = FULL
    limit: str = share_limits.NONE


def assign_shares(ranked, headrooms, presses, throttle_factor):
    """Return the :class:`Share` of each filling attempt.

    :param ranked: list of (name, image, share of the VM's processors that it
        asks for), in the order of precedence
    :param headrooms: map of serving image to the growth of the logarithm of
        its tail latency that all filling tasks together may cause
    :param presses: a ``tail_interference.TailInterferenceModel``
    :param throttle_factor: factor on all shares, 0 to 1
    :returns: map of name to :class:`Share`
    """
    left = dict(headrooms)
    shares = {}
    for name, image, asked in ranked:
        costs = {
            serving: presses.get_pacing_press(serving, image) * asked
            for serving in left
        }
        share, limiting = _find_least(left, costs)
        limit = share_limits.NONE
        if limiting is not None:
            limit = _name_limit(share, limiting, image, headrooms, presses)
        share = max(LEAST / FULL, share)
        for serving, cost in costs.items():
            left[serving] = max(0.0, left[serving] - cost * share)
        if share * (1 - throttle_factor) > 1 - share:
            limit = share_limits.THROTTLE_FACTOR
        percent = int(FULL * share * throttle_factor)
        shares[name] = Share(max(LEAST, percent), limit)
    return shares


def _find_least(left, costs):
    """Return the share that all headrooms allow, and the image that limits it.

    :returns: the share, 0 to 1, and the serving image; None without a limit
    """
    share, limiting = 1.0, None
    for serving, cost in costs.items():
        if cost > 0 and left[serving] / cost < share:
            share, limiting = left[serving] / cost, serving
    return share, limiting


def _name_limit(share, serving, image, headrooms, presses):
    """Return which limit a serving image's headroom amounts to.

    :param share: the share that it allows, 0 to 1
    """
    if headrooms[serving] <= 0:
        return share_limits.TAIL_AT_TARGET
    if share < LEAST / FULL:
        return share_limits.LEAST_SHARE
    if presses.is_known(serving, image):
        return share_limits.KNOWN_ESTIMATE
    return share_limits.UNKNOWN_ESTIMATE

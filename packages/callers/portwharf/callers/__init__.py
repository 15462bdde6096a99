# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The callers' API: requests to services and error budget burn rates."""

from portwharf.callers.burn import BurnRateCounter
from portwharf.callers.burn import compute_burn_rates
from portwharf.callers.burn import ServiceBuckets
from portwharf.callers.service import Call
from portwharf.callers.service import CallerService
from portwharf.callers.service import CallResult
from portwharf.callers.service import Router

__all__ = (
    'BurnRateCounter',
    'Call',
    'CallResult',
    'CallerService',
    'Router',
    'ServiceBuckets',
    'compute_burn_rates',
)

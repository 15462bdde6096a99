# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Prometheus metrics of an entry."""

import prometheus_client

from portwharf.core import data

_LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
    10,
    30,
)

REQUESTS = prometheus_client.Counter(
    'portwharf_requests',
    'Requests of callers, by outcome.',
    ['service', 'outcome'],
)
REQUEST_SECONDS = prometheus_client.Histogram(
    'portwharf_request_seconds',
    'Time from a request to its outcome.',
    ['service'],
    buckets=_LATENCY_BUCKETS_SECONDS,
)


def observe_request(service, outcome, seconds):
    """Record the outcome and latency of one caller's request."""
    name = data.Outcome(outcome).name.lower()
    REQUESTS.labels(service, name).inc()
    REQUEST_SECONDS.labels(service).observe(seconds)

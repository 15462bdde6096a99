# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Fakes of external services, test fixtures, fault tests and benchmarks."""

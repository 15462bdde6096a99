# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Stand-ins for what is outside portwharf, fixtures, and measurements."""

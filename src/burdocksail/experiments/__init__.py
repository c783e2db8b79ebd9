"""Load patterns, played on an in-memory fleet in virtual time.

A pattern file says which requests arrive and what befalls the servers and the
instances. The same file and seed give the same result on every machine.
"""

from burdocksail.experiments._patterns import Pattern, PatternError, read_pattern
from burdocksail.experiments._playback import Playback, RequestRecord, play
from burdocksail.experiments._plots import PlottingUnavailable, plot_playbacks
from burdocksail.experiments._summaries import (
    Summary,
    format_summaries,
    merge_summaries,
    summarize,
)

__all__ = [
    "Pattern",
    "PatternError",
    "Playback",
    "PlottingUnavailable",
    "RequestRecord",
    "Summary",
    "format_summaries",
    "merge_summaries",
    "play",
    "plot_playbacks",
    "read_pattern",
    "summarize",
]

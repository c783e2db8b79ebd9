"""Plays load patterns with several seeds, and prints and plots the result."""

import sys
from collections.abc import Sequence
from pathlib import Path

import typer

from burdocksail.experiments import (
    Playback,
    format_summaries,
    merge_summaries,
    play,
    plot_playbacks,
    read_pattern,
)
from burdocksail.fakes import silence_logs


def run_experiment(paths: Sequence[Path], seeds: int, plot: Path | None) -> None:
    """Play each pattern with the seeds from 0, print a table, and plot if asked.

    Raises
    ------
    PatternError
        If a pattern file is missing or not valid.
    PlottingUnavailable
        If a plot is asked for and matplotlib is not installed.
    """
    silence_logs()
    patterns = [read_pattern(path) for path in paths]
    plays = [(pattern, seed) for pattern in patterns for seed in range(seeds)]
    playbacks: list[Playback] = []
    with typer.progressbar(plays, label="playing", file=sys.stderr) as progress:
        playbacks.extend(play(pattern, seed) for pattern, seed in progress)
    groups = [playbacks[i * seeds : (i + 1) * seeds] for i in range(len(patterns))]
    typer.echo(format_summaries([merge_summaries(group) for group in groups]))
    if plot is not None:
        plot_playbacks([group[0] for group in groups], plot)

"""Runs the project's target measures and writes build/measures.json.

Four are simulated. The fifth is the processor time of a start, which is measured on a
process and compared with its limit.
"""

import json
import statistics
from pathlib import Path

import startup_cost as startup
import typer

from burdocksail.tools import _measures as measures

DEPLOYMENTS = (measures.LUMILINNA, measures.TALLAPOOSA)


def main(seed: int = 1, faults: int = 200) -> None:
    """Run all measures, with `faults` losses of the primary for the failover gap."""
    cost = startup.measure_startup()
    typer.echo(f"start: {cost}")
    shares, crests, baseline_crests, ratios, baseline_ratios = [], [], [], [], []
    for deployment in DEPLOYMENTS:
        shares.append(measures.measure_replica_share(deployment, seed))
        crest, baseline_crest = measures.measure_crest(deployment, seed)
        crests.append(crest)
        baseline_crests.append(baseline_crest)
        ratio, baseline_ratio = measures.measure_short_ratio(deployment, seed)
        ratios.append(ratio)
        baseline_ratios.append(baseline_ratio)
        typer.echo(f"{deployment.name}: replica share {shares[-1]:.3f}")
        typer.echo(f"{deployment.name}: crest {crest}, baseline {baseline_crest}")
        typer.echo(
            f"{deployment.name}: short p99 ratio {ratio:.2f} ({baseline_ratio:.2f})"
        )
    gaps, with_leader, with_store = _measure_gaps(seed, faults)
    outage = measures.PRIMARY_OUTAGE.total_seconds()
    result = {
        "replica_share": min(shares),
        "failover_gap_p50_s": statistics.median(gaps),
        "failover_gap_max_s": max(gaps),
        "failover_gap_max_with_leader_lost_s": max(with_leader),
        "failover_gap_with_store_lost_s": max(with_store),
        "crest_goodput": min(c.goodput for c in crests),
        "crest_refusal_p99_ms": max(c.refusal_p99_ms for c in crests),
        "crest_admitted_p99_ms": max(c.admitted_p99_ms for c in crests),
        "short_p99_ratio": max(ratios),
        "startup_cpu_s": cost.listening_s,
        "faults": {
            "alone": len(gaps),
            "with_leader": len(with_leader),
            "with_store": len(with_store),
        },
        "baseline": {
            "replica_share": 0.0,
            "failover_gap_p50_s": outage,
            "failover_gap_max_s": outage,
            "failover_gap_max_with_leader_lost_s": outage,
            "failover_gap_with_store_lost_s": outage,
            "crest_goodput": min(c.goodput for c in baseline_crests),
            "crest_refusal_p99_ms": max(c.refusal_p99_ms for c in baseline_crests),
            "crest_admitted_p99_ms": max(c.admitted_p99_ms for c in baseline_crests),
            "short_p99_ratio": max(baseline_ratios),
            "startup_cpu_s": startup.LIMIT_S,
        },
    }
    Path("build").mkdir(exist_ok=True)
    Path("build/measures.json").write_text(json.dumps(result, indent=2) + "\n")
    for key, value in result.items():
        if isinstance(value, float):
            typer.echo(f"{key:40} {value:10.3f} {result['baseline'][key]:10.3f}")


def _measure_gaps(
    seed: int, faults: int
) -> tuple[list[float], list[float], list[float]]:
    gaps: list[float] = []
    with_leader: list[float] = []
    with_store: list[float] = []
    for deployment in DEPLOYMENTS:
        gaps += measures.measure_failover_gaps(
            deployment, seed, faults // 2, with_leader=False, store_down=False
        )
        with_leader += measures.measure_failover_gaps(
            deployment, seed, faults // 8, with_leader=True, store_down=False
        )
        with_store += measures.measure_failover_gaps(
            deployment, seed, faults // 8, with_leader=False, store_down=True
        )
    return gaps, with_leader, with_store


if __name__ == "__main__":
    typer.run(main)

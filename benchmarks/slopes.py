"""Runs the capacity model and reports it.

Writes build/slopes.json, prints the tables and puts them into docs/CAPACITY.md.
"""

import json
from dataclasses import asdict
from pathlib import Path

import typer

from burdocksail.tools import _slopes as slopes

BEGIN_MARK = "<!-- measured: begin -->"
END_MARK = "<!-- measured: end -->"


def main() -> None:
    """Measure all sizes, and print and store the tables as Markdown."""
    measured = slopes.measure_slopes()
    rows = slopes.project_target(measured)
    Path("build").mkdir(exist_ok=True)
    result = {
        "lines": {name: asdict(line) for name, line in measured.lines.items()},
        "message_cost_ms": measured.message_cost_ms,
        "inspection_cost_ms": measured.inspection_cost_ms,
        "store_by_kind": measured.store_by_kind,
        "target": [asdict(row) for row in rows],
    }
    Path("build/slopes.json").write_text(json.dumps(result, indent=2) + "\n")
    tables = _format_tables(measured, rows)
    typer.echo(tables)
    _update_page(tables)


def _format_tables(measured: slopes.Slopes, rows: list[slopes.TargetRow]) -> str:
    text = [
        "| line (by figure and size) | base | slope | fit | sizes | values |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name, line in measured.lines.items():
        sizes = ", ".join(f"{size:.3g}" for size in line.sizes)
        values = ", ".join(f"{value:.4g}" for value in line.values)
        text.append(
            f"| {name} | {line.base:.4g} | {line.slope:.4g} | {line.fit:.2f} "
            f"| {sizes} | {values} |"
        )
    text.append("")
    text.append(
        f"A message costs {measured.message_cost_ms:.3f} ms at both ends together, "
        f"an inspection {measured.inspection_cost_ms:.3f} ms with the server's part."
    )
    text += ["", "| at the target | figure | limit | unit |"]
    text.append("| --- | --- | --- | --- |")
    for row in rows:
        limit = f"{row.limit:g}" if row.limit else ""
        text.append(f"| {row.name} | {row.value:.3g} | {limit} | {row.unit} |")
    return "\n".join(text)


def _update_page(tables: str) -> None:
    """Replace the tables between the marks in docs/CAPACITY.md."""
    page = Path("docs/CAPACITY.md")
    before, after_begin = page.read_text().split(BEGIN_MARK, 1)
    _, after = after_begin.split(END_MARK, 1)
    page.write_text(f"{before}{BEGIN_MARK}\n\n{tables}\n\n{END_MARK}{after}")


if __name__ == "__main__":
    typer.run(main)

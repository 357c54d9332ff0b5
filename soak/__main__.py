"""Command line: ``python -m soak``; see ``--help``."""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile
from typing import Annotated

import typer

from soak._regression_seeds import REGRESSION_SEEDS
from soak._run import RunPlan, RunResult, run_soak

app = typer.Typer(add_completion=False)


@app.command()
def main(
    seeds: Annotated[str, typer.Option(help="Seeds: one, FIRST-LAST, or none.")] = "1-50",
    kept: Annotated[bool, typer.Option(help="Also run the seeds that have failed.")] = False,
    fresh: Annotated[int, typer.Option(help="Additional runs with new random seeds.")] = 0,
    jobs: Annotated[int, typer.Option(help="Concurrent runs; each uses about one core.")] = 4,
    trouble_s: Annotated[float, typer.Option(help="Time in which faults start in a run.")] = 18.0,
    entries: Annotated[int, typer.Option(help="Entry processes in a run.")] = 3,
    folder: Annotated[str, typer.Option(help="Folder for logs; a new one by default.")] = "",
) -> None:
    """Run the soak and print the violations; exits with 1 where there were any."""
    first, _, last = seeds.partition("-")
    selected = list(range(int(first), int(last or first) + 1)) if seeds != "none" else []
    selected += [seed for seed in REGRESSION_SEEDS if kept and seed not in selected]
    selected += [random.SystemRandom().randrange(1_000, 2**31) for _ in range(fresh)]
    root = pathlib.Path(folder or tempfile.mkdtemp(prefix="soak-"))
    plans = [RunPlan(seed=seed, fault_period_s=trouble_s, entries=entries) for seed in selected]
    typer.echo(f"{len(plans)} runs, {jobs} at a time; logs in {root}")
    results = asyncio.run(_run_all(plans, root, jobs))
    failed = [result for result in results if result.violations]
    settled = sorted(result.settled_s for result in results)
    typer.echo(
        f"{len(results)} runs, {sum(result.accepted for result in results)} jobs, "
        f"{sum(result.starts for result in results)} starts; "
        f"settled in {settled[len(settled) // 2]} s "
        f"(median), {settled[-1]} s (longest); {len(failed)} with violations"
    )
    raise typer.Exit(1 if failed else 0)


async def _run_all(plans: list[RunPlan], root: pathlib.Path, jobs: int) -> list[RunResult]:
    limit = asyncio.Semaphore(jobs)

    async def run_limited(plan: RunPlan) -> RunResult:
        async with limit:
            folder = root / f"seed-{plan.seed}"
            folder.mkdir(parents=True, exist_ok=True)
            result = await run_soak(plan, folder=folder)
            _print_result(result)
            return result

    return await asyncio.gather(*(run_limited(plan) for plan in plans))


def _print_result(result: RunResult) -> None:
    state = "BROKEN" if result.violations else "kept"
    typer.echo(
        f"seed {result.seed}: {state}, {result.accepted} jobs, {result.starts} starts, "
        f"settled in {result.settled_s} s"
    )
    for line in result.violations:
        typer.echo(f"  {line}")
    if result.violations:
        for line in result.timeline:
            typer.echo(f"    {line}")


if __name__ == "__main__":
    app()

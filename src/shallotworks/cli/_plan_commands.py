"""Commands that propose, show, confirm and cancel plans."""

from __future__ import annotations

from typing import Annotated

import typer
from returns.result import Result

from shallotworks.operators import ErrorBody, PlansView, PlanView
from shallotworks.plans import describe_intent

from ._client import OperatorsClient
from ._options import (
    DEFAULT_ADDRESS,
    AddressOption,
    JsonOption,
    OperatorOption,
    TokenFileOption,
    open_client,
)
from ._output import print_outcome, print_table, print_text
from ._plan_text import diff_text, plan_text, stage_text
from ._propose_commands import propose_app

__all__ = ["plan_app"]

DigestArgument = Annotated[
    str, typer.Argument(help="Digest of the plan, or an unambiguous prefix of it.")
]

plan_app = typer.Typer(help="Propose, show, confirm and cancel plans.", no_args_is_help=True)
plan_app.add_typer(propose_app, name="propose")


@plan_app.command("list")
def _list(
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    as_json: JsonOption = False,
) -> None:
    """List proposals and confirmed plans."""
    client = open_client(address=address, token_file=token_file)
    answer = client.bind(lambda opened: opened.get("/plans", PlansView))
    print_outcome(answer, as_json=as_json, show=_show_plans)


def _show_plans(view: PlansView) -> None:
    print_table(
        ("plan", "state", "done", "of", "by", "intent"),
        (
            (
                entry.plan.short_digest,
                entry.stage,
                entry.progress.instances_done if entry.progress else 0,
                len(entry.plan.instances),
                entry.record.confirmed_by if entry.record else entry.plan.author,
                describe_intent(entry.plan.intent),
            )
            for entry in view.plans
        ),
    )


@plan_app.command("show")
def _show(
    digest: DigestArgument,
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    as_json: JsonOption = False,
) -> None:
    """Show one plan with its waves, its measures and the alternatives to it."""
    client = open_client(address=address, token_file=token_file)
    answer = client.bind(lambda opened: opened.get(_path(digest), PlanView))
    print_outcome(answer, as_json=as_json, show=_show_plan)


@plan_app.command("confirm")
def _confirm(
    digest: DigestArgument,
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Confirm a proposal, so that it is executed."""
    client = open_client(address=address, token_file=token_file, operator=operator)
    print_outcome(_post(client, digest, "confirm"), as_json=as_json, show=_show_stage)


@plan_app.command("cancel")
def _cancel(
    digest: DigestArgument,
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Cancel a confirmed plan; it starts no further step and returns what it cordoned."""
    client = open_client(address=address, token_file=token_file, operator=operator)
    print_outcome(_post(client, digest, "cancel"), as_json=as_json, show=_show_stage)


def _post(
    client: Result[OperatorsClient, ErrorBody], digest: str, verb: str
) -> Result[PlanView, ErrorBody]:
    return client.bind(lambda opened: opened.post(f"{_path(digest)}/{verb}", PlanView, b""))


def _path(digest: str) -> str:
    # A text that isn't alphanumeric can't be a digest and could change the path, so it is replaced
    # by one that matches no route.
    return f"/plans/{digest if digest.isalnum() else '-'}"


def _show_plan(view: PlanView) -> None:
    print_text(plan_text(view))


def _show_stage(view: PlanView) -> None:
    print_text(stage_text(view))


@plan_app.command("diff")
def _diff(
    first: DigestArgument,
    second: DigestArgument,
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
) -> None:
    """Show the differences between two plans, such as a stale one and its replacement."""
    client = open_client(address=address, token_file=token_file)
    both = client.bind(
        lambda opened: opened.get(_path(first), PlanView).bind(
            lambda one: opened.get(_path(second), PlanView).map(lambda other: (one, other))
        )
    )
    print_outcome(both, as_json=False, show=_show_diff)


def _show_diff(both: tuple[PlanView, PlanView]) -> None:
    print_text(diff_text(both[0].plan, both[1].plan))

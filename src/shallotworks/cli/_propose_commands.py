"""Commands that propose a plan, one for each kind of intent and selection."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Annotated

import typer

from shallotworks.operators import PlanView
from shallotworks.plans import (
    Drain,
    InDataCentre,
    InPool,
    InRack,
    Intent,
    Maintain,
    Move,
    Named,
    Return,
    Selection,
    encode_intent,
    not_maintained_for,
)

from ._options import (
    DEFAULT_ADDRESS,
    AddressOption,
    JsonOption,
    OperatorOption,
    TokenFileOption,
    open_client,
)
from ._output import print_outcome, print_text
from ._plan_text import plan_text

__all__ = ["propose_app"]

RackArgument = Annotated[str, typer.Argument(help="Name of the rack.")]
PoolArgument = Annotated[str, typer.Argument(help="Name of the pool.")]
DataCentreArgument = Annotated[str, typer.Argument(help="Name of the data centre.")]
NamesArgument = Annotated[list[str], typer.Argument(help="Names of the instances.")]
WeeksArgument = Annotated[float, typer.Argument(help="Age in weeks.", min=0)]
DataCentreOption = Annotated[str, typer.Option("--data-centre", help="Data centre of the rack.")]

_wall_clock_s: Callable[[], float] = time.time

propose_app = typer.Typer(
    help="Propose a plan; it is executed only after it is confirmed.", no_args_is_help=True
)


@propose_app.command("move")
def _move(
    from_pool: Annotated[str, typer.Argument(help="Pool that the instances leave.")],
    to_pool: Annotated[str, typer.Argument(help="Pool that the instances join.")],
    count: Annotated[int, typer.Option(help="Number of instances.", min=0)] = 0,
    instance: Annotated[
        list[str] | None, typer.Option(help="Name of an instance; may be repeated.")
    ] = None,
    address: AddressOption = DEFAULT_ADDRESS,
    token_file: TokenFileOption = "",
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Move instances from one pool to another, either --count of them or those named."""
    names = tuple(instance or ())
    if bool(count) is bool(names):
        raise typer.BadParameter("give either --count or --instance", param_hint="--count")
    intent = Move(from_pool=from_pool, to_pool=to_pool, count=count, names=names)
    _propose(intent, address, token_file, operator, as_json)


def _add_selections(app: typer.Typer, to_intent: Callable[[Selection], Intent]) -> None:
    """Add one command for each kind of selection."""

    @app.command("instance")
    def _instance(
        names: NamesArgument,
        address: AddressOption = DEFAULT_ADDRESS,
        token_file: TokenFileOption = "",
        operator: OperatorOption = "",
        as_json: JsonOption = False,
    ) -> None:
        """Instances by name."""
        intent = to_intent(Named(names=tuple(names)))
        _propose(intent, address, token_file, operator, as_json)

    @app.command("rack")
    def _rack(
        rack: RackArgument,
        data_centre: DataCentreOption,
        address: AddressOption = DEFAULT_ADDRESS,
        token_file: TokenFileOption = "",
        operator: OperatorOption = "",
        as_json: JsonOption = False,
    ) -> None:
        """The instances of one rack."""
        intent = to_intent(InRack(data_centre=data_centre, rack=rack))
        _propose(intent, address, token_file, operator, as_json)

    @app.command("pool")
    def _pool(
        pool: PoolArgument,
        address: AddressOption = DEFAULT_ADDRESS,
        token_file: TokenFileOption = "",
        operator: OperatorOption = "",
        as_json: JsonOption = False,
    ) -> None:
        """The instances of one pool."""
        _propose(to_intent(InPool(pool=pool)), address, token_file, operator, as_json)

    @app.command("data-centre")
    def _data_centre(
        data_centre: DataCentreArgument,
        address: AddressOption = DEFAULT_ADDRESS,
        token_file: TokenFileOption = "",
        operator: OperatorOption = "",
        as_json: JsonOption = False,
    ) -> None:
        """The instances of one data centre."""
        intent = to_intent(InDataCentre(data_centre=data_centre))
        _propose(intent, address, token_file, operator, as_json)


def _add_older_than(app: typer.Typer) -> None:
    @app.command("older-than")
    def _older_than(
        weeks: WeeksArgument,
        address: AddressOption = DEFAULT_ADDRESS,
        token_file: TokenFileOption = "",
        operator: OperatorOption = "",
        as_json: JsonOption = False,
    ) -> None:
        """The instances whose last maintenance is at least this many weeks ago."""
        selection = not_maintained_for(weeks, now_s=_wall_clock_s())
        _propose(Maintain(selection=selection), address, token_file, operator, as_json)


def _propose(intent: Intent, address: str, token_file: str, operator: str, as_json: bool) -> None:
    body = encode_intent(intent)
    client = open_client(address=address, token_file=token_file, operator=operator)
    answer = client.bind(lambda opened: opened.post("/plans", PlanView, body))
    print_outcome(answer, as_json=as_json, show=_show_proposal)


def _show_proposal(view: PlanView) -> None:
    print_text(plan_text(view))
    print_text("\nNothing is done yet. To carry it out:\n")
    print_text(f"  shallotworks plan confirm {view.plan.short_digest}\n")


def _add_action(name: str, help_text: str, to_intent: Callable[[Selection], Intent]) -> typer.Typer:
    app = typer.Typer(help=help_text, no_args_is_help=True)
    _add_selections(app, to_intent)
    propose_app.add_typer(app, name=name)
    return app


_add_action(
    "drain",
    "Take instances out of service once they have no request in flight.",
    lambda selection: Drain(selection=selection),
)
_add_action(
    "return",
    "Probe cordoned instances and return them to service.",
    lambda selection: Return(selection=selection),
)
_add_older_than(
    _add_action(
        "maintain",
        "Drain, reboot, probe and return instances, in waves.",
        lambda selection: Maintain(selection=selection),
    )
)

"""``bitternlever upstreams``: show the upstreams known to an entry host, or orders."""

import dataclasses
from typing import Annotated, Any

import cappa
import msgspec

from bitternlever.commands import operator_client, operator_output
from bitternlever.messages import directory, upstream

ORDERS = cappa.Arg(long=True, help="Show the last order to each engine instead.")


@cappa.command(name="upstreams", help="Show the upstreams that a host knows.")
@dataclasses.dataclass
class Upstreams(operator_client.Connection):
    """Options of ``upstreams``."""

    orders: Annotated[bool, ORDERS] = False


class UpstreamRow(msgspec.Struct):
    """An upstream in the answer."""

    announcement: upstream.Announcement
    age_s: float
    serving: bool
    in_flight: int
    limit: float


class UpstreamsAnswer(msgspec.Struct):
    """The answer of ``GET /v1/upstreams``."""

    upstreams: list[UpstreamRow]
    orders: list[directory.OrderStatus]


def run(command: Upstreams) -> int:
    """Print the upstreams, or the last order to each engine."""
    outcome = operator_client.call(command, "GET", "/v1/upstreams")
    if outcome.is_err():
        return operator_output.print_failure(command.json, outcome.err())
    answer = msgspec.json.decode(outcome.ok().body, type=UpstreamsAnswer)
    if command.orders:
        operator_output.print_result(command.json, answer.orders, _order_lines(answer))
    else:
        operator_output.print_result(command.json, answer.upstreams, _lines(answer))
    return operator_client.EXIT_DONE


def _lines(answer: UpstreamsAnswer) -> list[str]:
    headings = ["name", "pool", "zone", "models", "state", "age", "running", "limit"]
    return operator_output.table(headings, [_row(row) for row in answer.upstreams])


def _row(row: UpstreamRow) -> list[Any]:
    announcement = row.announcement
    state = (
        "serving" if row.serving else "leaving" if announcement.leaving else "silent"
    )
    return [
        announcement.name,
        announcement.pool,
        announcement.zone,
        ",".join(announcement.models) or "-",
        state,
        f"{row.age_s:.1f}s",
        row.in_flight,
        f"{row.limit:.0f}" if row.limit else "-",
    ]


def _order_lines(answer: UpstreamsAnswer) -> list[str]:
    headings = ["upstream", "fencing", "models", "role", "state", "detail"]
    rows = [
        [
            order.upstream,
            order.fencing,
            ",".join(order.models) or "-",
            order.role,
            order.state,
            order.detail,
        ]
        for order in answer.orders
    ]
    return operator_output.table(headings, rows)

"""List, show and settle orders."""

from typing import Any
from urllib.parse import quote

from teaselctl.client import Client
from teaselctl.options import FLAGS
from teaselctl.output import CommandError, Output, table

__all__ = ["run"]

OUTCOMES = ("ran", "not-run")
COLUMNS = ("organisation", "key", "state", "ran", "service", "kind", "reason")


def _path(organisation: str, key: str) -> str:
    return f"/v1/orders/{quote(organisation, safe='')}/{quote(key, safe='')}"


def _format_order(order: dict[str, Any]) -> str:
    width = max(len(name) for name in order)
    return "\n".join(f"{name.ljust(width)}  {value}" for name, value in order.items())


async def _list(client: Client, args: list[str]) -> Output:
    page = await client.get(
        "/v1/orders",
        organisation=FLAGS.organisation,
        state=FLAGS.state,
        limit=FLAGS.limit,
        after=FLAGS.after,
    )
    text = table(COLUMNS, page["orders"])
    if page.get("after"):
        text += f"\nmore: --after={page['after']}"
    return Output(page, text)


async def _show(client: Client, args: list[str]) -> Output:
    if len(args) != 2:  # noqa: PLR2004
        raise CommandError("orders show takes an organisation and a key")
    order = await client.get(_path(*args))
    return Output(order, _format_order(order))


async def _settle(client: Client, args: list[str]) -> Output:
    if len(args) != 3 or args[2] not in OUTCOMES:  # noqa: PLR2004
        choices = " or ".join(OUTCOMES)
        raise CommandError(f"orders settle takes an organisation, a key and {choices}")
    order = await client.post(_path(*args[:2]), {"outcome": args[2]})
    return Output(order, f"settled\n{_format_order(order)}")


ACTIONS = {"list": _list, "show": _show, "settle": _settle}


async def run(args: list[str]) -> Output:
    """Run the action that the first argument names."""
    action = ACTIONS.get(args[0]) if args else None
    if action is None:
        raise CommandError(f"orders takes one of {', '.join(ACTIONS)}")
    client = Client.from_flags(FLAGS)
    return await action(client, args[1:])

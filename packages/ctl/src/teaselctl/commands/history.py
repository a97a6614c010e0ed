"""List the latest versions."""

from teaselctl.client import Client
from teaselctl.options import FLAGS
from teaselctl.output import Output, table

__all__ = ["run"]

MAX_NAMED_ENTRIES = 3
"""Number of changed entries that a row names."""


async def run(args: list[str]) -> Output:
    """Fetch the latest versions and print them."""
    client = Client.from_flags(FLAGS)
    heads = await client.get("/v1/versions", limit=FLAGS.limit)
    rows = []
    for head in heads:
        changed = head["changed"]
        rest = (
            f" and {len(changed) - MAX_NAMED_ENTRIES} more"
            if len(changed) > MAX_NAMED_ENTRIES
            else ""
        )
        rows.append({**head, "changed": ", ".join(changed[:MAX_NAMED_ENTRIES]) + rest})
    columns = ("version", "time", "author", "base", "changed", "note")
    return Output(heads, table(columns, rows))

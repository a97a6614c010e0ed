"""Print a version as YAML."""

import yaml

from teaselctl.client import Client
from teaselctl.options import FLAGS
from teaselctl.output import CommandError, Output

__all__ = ["run"]


async def run(args: list[str]) -> Output:
    """Fetch a version and print its document."""
    number = args[0] if args else "head"
    if args and (len(args) > 1 or not number.isdecimal()):
        raise CommandError("show takes one version number at most")
    client = Client.from_flags(FLAGS)
    found = await client.get(f"/v1/versions/{number}")
    text = yaml.safe_dump(found["document"], sort_keys=False)
    return Output(found, f"# version {found['head']['version']}\n{text}")

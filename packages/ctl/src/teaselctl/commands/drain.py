"""Take a router out of service."""

from teaselctl.client import Client
from teaselctl.options import FLAGS
from teaselctl.output import Output

__all__ = ["run"]


async def run(args: list[str]) -> Output:
    """Request that the router drains."""
    client = Client.from_flags(FLAGS)
    response = await client.post("/v1/drain", {})
    return Output(
        response, f"{response['draining']} drains; `status` shows it as leaving"
    )

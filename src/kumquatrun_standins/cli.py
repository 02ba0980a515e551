"""Commands that start one stand-in each."""

import asyncio
from contextlib import suppress
from dataclasses import fields

import click

from kumquatrun.peer import Address
from kumquatrun_standins.engine import Engine
from kumquatrun_standins.engine_core import EngineOptions
from kumquatrun_standins.host_list import HostList
from kumquatrun_standins.plain_service import PlainService
from kumquatrun_standins.serving import StandinServer, serve_forever
from kumquatrun_standins.weight_store import WeightStore

listen_option = click.option(
    '--listen',
    required=True,
    type=Address.parse,
    help='IP address and port to serve on, as ip:port.',
)


def _run(create, listen: Address) -> None:
    async def serve() -> None:
        server: StandinServer = create()
        await serve_forever(server, listen)

    with suppress(KeyboardInterrupt):
        asyncio.run(serve())


@click.group()
def main() -> None:
    """Start a stand-in for a backend server or store."""


def _option_per_field(options_type: type):
    def decorate(command):
        for spec in reversed(fields(options_type)):
            flag = spec.name.replace('_', '-')
            both = f'--{flag}/--no-{flag}'
            command = click.option(
                both if spec.type is bool else f'--{flag}',
                default=spec.default,
                show_default=True,
            )(command)
        return command

    return decorate


@main.command()
@listen_option
@_option_per_field(EngineOptions)
def engine(listen: Address, **options) -> None:
    """Serve completions with a few adapter slots."""
    _run(lambda: Engine(EngineOptions(**options)), listen)


@main.command('plain-service')
@listen_option
@click.option('--delay-s', default=0.0, help='Time per call.')
def plain_service(listen: Address, delay_s: float) -> None:
    """Serve lookups and bookings."""
    _run(lambda: PlainService(delay_s), listen)


@main.command('weight-store')
@listen_option
@click.option('--load-s', default=0.25, help='Transfer time at full speed.')
@click.option('--setup-s', default=0.08, help='Time before a transfer.')
def weight_store(listen: Address, load_s: float, setup_s: float) -> None:
    """Serve adapter weights."""
    _run(lambda: WeightStore(load_s, setup_s), listen)


@main.command('host-list')
@listen_option
@click.option('--lag-s', default=5.0, help='Delay of published changes.')
def host_list(listen: Address, lag_s: float) -> None:
    """Serve the lagging list of live and leaving hosts."""
    _run(lambda: HostList(lag_s), listen)

"""Types of command-line arguments."""

from typing import Any

import click

from hibiscustiller.settings import Address, parse_address


class AddressType(click.ParamType):
    """An IP number and a port."""

    name = "IP:PORT"

    def convert(self, value: Any, param: Any, ctx: Any) -> Address:
        try:
            return value if isinstance(value, Address) else parse_address(value)
        except ValueError as error:
            self.fail(f"{value!r}: {error}", param, ctx)

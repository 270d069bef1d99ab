"""Write the generated modules from the schemas.

Run with ``--check`` to compare the committed files with what would be written.
"""

import subprocess
import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path

import capnp
import click
import jinja2

ROOT = Path(__file__).resolve().parent.parent
TEMPLATES = Path(__file__).resolve().parent / "templates"

SCALARS = {
    "text": "str",
    "data": "bytes",
    "bool": "bool",
    "uint8": "int",
    "uint16": "int",
    "uint32": "int",
    "uint64": "int",
    "int32": "int",
    "int64": "int",
    "float32": "float",
    "float64": "float",
}
PYTHON_TYPES = {
    "duration": "timedelta",
    "address": "Address",
    "optional_address": "Address | None",
    "addresses": "tuple[Address, ...]",
    "strs": "tuple[str, ...]",
    "choice": "str",
    "digest": "str",
}


@dataclass(frozen=True)
class Field:
    """One field of a message."""

    name: str
    wire_name: str
    python_type: str
    kind: str
    struct: str


def snake_case(name: str) -> str:
    """Turn ``camelCase`` into ``snake_case``."""
    return "".join(f"_{c.lower()}" if c.isupper() else c for c in name)


def describe_field(proto: object, names_by_id: dict[int, str]) -> Field:
    """Describe a message's field by reflection."""
    kind = proto.slot.type.which()
    wire_name = proto.name
    name = snake_case(wire_name)
    if kind == "struct":
        struct = names_by_id[proto.slot.type.struct.typeId]
        return Field(name, wire_name, struct, "struct", struct)
    if kind == "list":
        element = proto.slot.type.list.elementType
        if element.which() == "struct":
            struct = names_by_id[element.struct.typeId]
            return Field(name, wire_name, f"tuple[{struct}, ...]", "structs", struct)
        scalar = SCALARS[element.which()]
        return Field(name, wire_name, f"tuple[{scalar}, ...]", "scalars", "")
    return Field(name, wire_name, SCALARS[kind], "scalar", "")


def render_messages(environment: jinja2.Environment) -> str:
    """Render the dataclasses and codecs of the peer messages."""
    module = capnp.load(str(ROOT / "schema" / "messages.capnp"))
    nodes = list(module.schema.node.nestedNodes)
    names_by_id = {node.id: node.name for node in nodes}
    structs = []
    variants = []
    for node in nodes:
        fields = getattr(module, node.name).schema.node.struct.fields
        if node.name == "Envelope":
            variants = [
                (field.name, names_by_id[field.slot.type.struct.typeId])
                for field in fields
                if field.discriminantValue != 0xFFFF
            ]
        else:
            described = [describe_field(field, names_by_id) for field in fields]
            structs.append((node.name, described))
    order = sort_by_dependency(structs)
    return environment.get_template("messages.py.j2").render(
        structs=order, variants=variants
    )


def sort_by_dependency(
    structs: list[tuple[str, list[Field]]],
) -> list[tuple[str, list[Field]]]:
    """Put each struct after the structs that its fields use."""
    fields_by_name = dict(structs)
    ordered: dict[str, list[Field]] = {}

    def place(name: str) -> None:
        for field in fields_by_name[name]:
            if field.struct:
                place(field.struct)
        ordered.setdefault(name, fields_by_name[name])

    for name in fields_by_name:
        place(name)
    return list(ordered.items())


def render_sections(
    environment: jinja2.Environment, schema: str, suffix: str, summary: str
) -> str:
    """Render the dataclasses and specifications of INI sections."""
    text = (ROOT / "schema" / schema).read_text()
    sections = tomllib.loads(text)["section"]
    ids = set()
    for section in sections:
        section["class"] = section["name"].title().replace("_", "") + suffix
        if section.get("named", "str") != "str":
            ids.add(section["named"])
        for key in section["key"]:
            declared = key["type"]
            key["python"] = PYTHON_TYPES.get(declared, declared)
            if declared.endswith(("Id", "Name")):
                ids.add(declared)
                key["type"] = "str"
    types = {key["python"] for section in sections for key in section["key"]}
    return environment.get_template("sections.py.j2").render(
        sections=sections,
        ids=sorted(ids),
        summary=summary,
        schema=schema,
        uses_timedelta="timedelta" in types,
    )


def format_source(source: str) -> str:
    """Format Python source as the rest of the tree is formatted."""
    command = [sys.executable, "-m", "ruff", "format", "--line-length", "88", "-"]
    done = subprocess.run(
        command, input=source, capture_output=True, text=True, check=True
    )
    return done.stdout


def render_all() -> dict[Path, str]:
    """Render every generated file, by path."""
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(TEMPLATES),
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        undefined=jinja2.StrictUndefined,
    )
    package = ROOT / "hibiscustiller"
    settings = render_sections(
        environment, "settings.toml", "Settings", "Settings of one router daemon."
    )
    document = render_sections(
        environment, "document.toml", "Config", "Sections of the operators' document."
    )
    messages = render_messages(environment)
    schema = (ROOT / "schema" / "messages.capnp").read_text()
    return {
        package / "settings" / "_generated.py": format_source(settings),
        package / "configuration" / "_generated.py": format_source(document),
        package / "wire" / "_messages_generated.py": format_source(messages),
        package / "wire" / "messages.capnp": schema,
    }


@click.command()
@click.option("--check", is_flag=True, help="Compare only; exit 1 on a difference.")
def main(check: bool) -> None:
    """Write the generated modules, or compare them."""
    stale = []
    for path, text in render_all().items():
        if path.exists() and path.read_text() == text:
            continue
        stale.append(path.relative_to(ROOT))
        if not check:
            path.write_text(text)
    for path in stale:
        click.echo(f"{'stale' if check else 'written'}: {path}")
    if check and stale:
        sys.exit(1)


if __name__ == "__main__":
    main()

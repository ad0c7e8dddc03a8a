"""Generates src/generated/ from schema/, and platform/generated/ from
platform/schema/.

Usage: generate.py SCHEMA_DIR OUTPUT_DIR REFERENCE_FILE
       generate.py --adapter SCHEMA_DIR OUTPUT_DIR
Each schema file is turned into a .c and .h pair. REFERENCE_FILE documents the
records, error kinds and counters of schema/ in Markdown.
"""
import pathlib
import sys

import jinja2
import yaml

SCALARS = {
    "u16": ("uint16_t", "kFieldU16", 0xFFFF),
    "u32": ("uint32_t", "kFieldU32", 0xFFFFFFFF),
    "u64": ("uint64_t", "kFieldU64", 0xFFFFFFFFFFFFFFFF),
    "milli": ("uint32_t", "kFieldMilli", 0xFFFFFFFF),
    "bool": ("bool", "kFieldBool", 1),
    "str": ("const char *", "kFieldStr", 0),
    "bytes": ("bytes_t", "kFieldBytes", 0),
}


def camel(name):
    return "".join(part.capitalize() for part in name.split("_"))


def enum_const(enum, value):
    return f"k{camel(enum)}{camel(value)}"


def expand_field(field):
    """Returns the field with its C type, descriptor type and limits added."""
    kind, _, arg = field["type"].partition(":")
    expanded = dict(field, is_list=kind == "list", record=None, enum=None)
    expanded.setdefault("key", field["name"])
    if kind == "list" and arg in SCALARS:
        expanded["ctype"], expanded["ftype"], _ = SCALARS[arg]
        expanded.setdefault("max", 0)
    elif kind in SCALARS:
        expanded["ctype"], expanded["ftype"], maximum = SCALARS[kind]
        expanded.setdefault("max", maximum)
    elif kind == "enum":
        expanded.update(ctype=f"{arg}_t", ftype="kFieldEnum", enum=arg)
        expanded["max"] = 0
        if "def" in field:
            expanded["def"] = enum_const(arg, field["def"])
    elif kind in ("rec", "list"):
        expanded.update(ctype=f"{arg}_t", ftype="kFieldRecord", record=arg)
        expanded.setdefault("max", 0)
    else:
        raise SystemExit(f"field {field['name']}: unknown type {kind}")
    expanded.setdefault("min", 0)
    expanded.setdefault("def", 0)
    expanded.setdefault("text", "")
    expanded["required"] = bool(field.get("required"))
    return expanded


def load_records(table):
    for group in ("records", "messages"):
        for record in table.get(group, []):
            record["fields"] = [expand_field(f) for f in record["fields"]]
            record.setdefault("open", False)
            record.setdefault("row", False)
    return table


def write(path, text):
    path.write_text(text.rstrip() + "\n")


def create_environment():
    templates = pathlib.Path(__file__).parent / "templates"
    env = jinja2.Environment(
        loader=jinja2.FileSystemLoader(templates), trim_blocks=True,
        lstrip_blocks=True, undefined=jinja2.StrictUndefined)
    env.globals.update(camel=camel, enum_const=enum_const)
    return env


def render(env, name, template, table, folder, out):
    for ext in ("h", "c"):
        text = env.get_template(f"{template}.{ext}.j2").render(
            name=name, folder=folder, imports=table.get("imports", []),
            table=table)
        write(out / f"{name}.{ext}", text)


def generate_adapter(schema_dir, out_dir):
    schema, out = pathlib.Path(schema_dir), pathlib.Path(out_dir)
    out.mkdir(parents=True, exist_ok=True)
    env = create_environment()
    for path in sorted(schema.glob("*.yaml")):
        table = load_records(yaml.safe_load(path.read_text()))
        render(env, path.stem, "records", table, "platform/generated", out)


def main(schema_dir, out_dir, reference):
    schema, out = pathlib.Path(schema_dir), pathlib.Path(out_dir)
    out.mkdir(parents=True, exist_ok=True)
    env = create_environment()
    outputs = [("errors", "errors", lambda table: table),
               ("counters", "counters", lambda table: table),
               ("documents", "records", load_records),
               ("settings", "records", load_records),
               ("messages", "records", load_records)]
    tables = {}
    for name, template, prepare in outputs:
        table = prepare(yaml.safe_load((schema / f"{name}.yaml").read_text()))
        tables[name] = table
        render(env, name, template, table, "generated", out)
    write(pathlib.Path(reference),
          env.get_template("reference.md.j2").render(tables=tables))


if __name__ == "__main__":
    if sys.argv[1] == "--adapter":
        generate_adapter(*sys.argv[2:4])
    else:
        main(*sys.argv[1:4])

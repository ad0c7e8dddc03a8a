"""Generates src/generated/ from schema/, and platform/generated/ from
platform/schema/.

Usage: generate.py SCHEMA_DIR OUTPUT_DIR REFERENCE_FILE
       generate.py --adapter SCHEMA_DIR OUTPUT_DIR
Each schema file is a declarative table; each output is a .c and .h pair.
The reference page lists those of the product for readers.
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


def expand_field(field, enums):
    """Adds the C type, descriptor type and limits to a field."""
    kind, _, arg = field["type"].partition(":")
    out = dict(field, is_list=kind == "list", record=None, enum=None)
    out.setdefault("key", field["name"])
    if kind == "list" and arg in SCALARS:
        out["ctype"], out["ftype"], _ = SCALARS[arg]
        out.setdefault("max", 0)
    elif kind in SCALARS:
        out["ctype"], out["ftype"], top = SCALARS[kind]
        out.setdefault("max", top)
    elif kind == "enum":
        out.update(ctype=f"{arg}_t", ftype="kFieldEnum", enum=arg)
        out["max"] = 0
        if "def" in field:
            out["def"] = enum_const(arg, field["def"])
    elif kind in ("rec", "list"):
        out.update(ctype=f"{arg}_t", ftype="kFieldRecord", record=arg)
        out.setdefault("max", 0)
    else:
        raise SystemExit(f"field {field['name']}: unknown type {kind}")
    out.setdefault("min", 0)
    out.setdefault("def", 0)
    out.setdefault("text", "")
    out["required"] = bool(field.get("required"))
    return out


def load_records(table):
    enums = {e["name"]: e for e in table.get("enums", [])}
    for group in ("records", "messages"):
        for record in table.get(group, []):
            record["fields"] = [expand_field(f, enums)
                                for f in record["fields"]]
            record.setdefault("open", False)
            record.setdefault("row", False)
    return table


def write(path, text):
    path.write_text(text.rstrip() + "\n")


def create_env():
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
    env = create_env()
    for path in sorted(schema.glob("*.yaml")):
        table = load_records(yaml.safe_load(path.read_text()))
        render(env, path.stem, "records", table, "platform/generated", out)


def main(schema_dir, out_dir, reference):
    schema, out = pathlib.Path(schema_dir), pathlib.Path(out_dir)
    out.mkdir(parents=True, exist_ok=True)
    env = create_env()
    plan = [("errors", "errors", lambda t: t),
            ("counters", "counters", lambda t: t),
            ("documents", "records", load_records),
            ("settings", "records", load_records),
            ("messages", "records", load_records)]
    tables = {}
    for name, template, prepare in plan:
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

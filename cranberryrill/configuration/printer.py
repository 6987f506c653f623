"""Print a configuration document as YAML."""

import dataclasses
import json

import yaml

from cranberryrill.configuration import document


def print_document(content: document.Document) -> str:
    """Return the document as YAML that `cranberryrill config apply` reads."""
    plain = json.loads(json.dumps(dataclasses.asdict(content)))
    printed: str = yaml.dump(
        plain,
        Dumper=yaml.CSafeDumper,
        sort_keys=False,
        allow_unicode=True,
    )
    return printed

"""Define a configuration in Python, and print it as YAML for `apply`.

Each class is a frozen data class. `show` prints the document, or exits with a
description of each of its errors.

    from cranberryrill import library

    library.show(
        library.Document(
            organisations=(library.Organisation(name='clinics'),),
            classes=(library.RequestClass(name='urgent', tier=1),),
            models=(library.Model(name='wobble', default_class='urgent'),),
        ),
    )
"""

import sys

import result

from cranberryrill.configuration import document, printer, validation
from cranberryrill.settings import loader

ClassRule = document.ClassRule
Document = document.Document
Model = document.Model
Organisation = document.Organisation
RequestClass = document.RequestClass
Route = document.Route
UpstreamRule = document.UpstreamRule


def print_document(
    content: Document,
) -> result.Result[str, loader.InvalidDocument]:
    """Return the document as YAML, or every error in it."""
    text = printer.print_document(content)
    validated = validation.read_document(text, 'document')
    if isinstance(validated, result.Err):
        return validated
    return result.Ok(text)


def show(content: Document) -> None:
    """Print the document as YAML, or exit with its errors."""
    printed = print_document(content)
    if isinstance(printed, result.Err):
        sys.exit(str(printed.err_value))
    sys.stdout.write(printed.ok_value)

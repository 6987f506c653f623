"""Write a configuration in Python, and print the YAML that `apply` takes.

Each class is a frozen data class; `show` prints the document, or explains
each of its faults and ends the program.

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
    """Return the YAML of a document, or every fault in it."""
    text = printer.print_document(content)
    checked = validation.read_document(text, 'document')
    if isinstance(checked, result.Err):
        return checked
    return result.Ok(text)


def show(content: Document) -> None:
    """Print a document as YAML, or end the program with its faults."""
    printed = print_document(content)
    if isinstance(printed, result.Err):
        sys.exit(str(printed.err_value))
    sys.stdout.write(printed.ok_value)

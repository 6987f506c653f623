"""Run the command line as `python -m cranberryrill`."""

from cranberryrill.programs import command

command.main()

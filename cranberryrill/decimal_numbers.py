"""Parse whole numbers in headers, of any length."""

# More digits than any count or status has; Python refuses to convert thousands.
MAX_DIGITS = 18
MAX_NUMBER = 999_999_999_999_999_999


def parse(text: str) -> int | None:
    """Return a number in decimal digits; None for anything else.

    A number of too many digits is replaced by the largest with as many.
    """
    stripped = text.strip()
    if not stripped.isascii() or not stripped.isdigit():
        return None
    significant = stripped.lstrip('0')
    if len(significant) > MAX_DIGITS:
        return MAX_NUMBER
    return int(significant or '0')

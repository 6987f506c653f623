"""Example configuration of the demonstration, the tests and the bench."""

from cranberryrill.configuration import document

MODEL = 'wobble'
# Service that takes orders; a `desk` stand-in runs as its upstream.
DESK = 'parts-desk'

NIVELAR_CLASSES = (
    document.RequestClass(name='urgent', tier=1, floor=0.2),
    document.RequestClass(
        name='orders',
        tier=2,
        first_token_ms=2000,
        floor=0.1,
    ),
    document.RequestClass(
        name='drafting',
        tier=4,
        first_token_ms=30_000,
        between_tokens_ms=500,
        floor=0.05,
    ),
)


def nivelar() -> document.Document:
    """Return the configuration of Nivelar, the example company.

    Three organisations share a model and an order service; one of them may
    send urgent requests to the model.
    """
    return document.Document(
        organisations=(
            document.Organisation(name='installers', weight=2),
            document.Organisation(name='clinics'),
            document.Organisation(name='guides'),
        ),
        classes=NIVELAR_CLASSES,
        models=(document.Model(name=MODEL, default_class='drafting'),),
        routes=(
            document.Route(
                name='parts',
                path_prefix='/orders',
                service=DESK,
                default_class='orders',
            ),
        ),
        class_rules=(
            document.ClassRule(
                name='installers-urgent',
                organisation='installers',
                target=MODEL,
                class_name='urgent',
            ),
        ),
        upstream_rules=(
            document.UpstreamRule(
                name='wobble-dc-1',
                target=MODEL,
                data_centre='dc-1',
                least=1,
                most=3,
            ),
        ),
    )

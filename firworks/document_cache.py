"""Schema validation with a cache of the client accounts that are known to be valid.

A new configuration version changes few accounts; validating all of them again would
block the daemon's event loop.
"""

from hashlib import blake2b

from firworks.checks import check_table

DIGEST_BYTES = 16
MAX_CACHED_ACCOUNTS = 20_000
SECTION = "accounts"

_valid_digests = set()


def check_document(table, schema, source, max_accounts):
    """Validate a document's table against its schema, as `check_table` does.

    Args:
        table (dict): The parsed TOML.
        schema (dict): The document's JSON schema.
        source (str): Origin of the document, for error messages.
        max_accounts (int): Maximum number of accounts that the schema allows.

    Raises:
        SettingsError: For the first violation in key order.
    """
    accounts = table.get(SECTION)
    if not isinstance(accounts, dict) or len(accounts) > max_accounts:
        check_table(table, schema, source)
        return
    digests = {name: _digest(name, item) for name, item in accounts.items()}
    changed = {
        n: accounts[n] for n, digest in digests.items() if digest not in _valid_digests
    }
    check_table({**table, SECTION: changed}, schema, source)
    if len(_valid_digests) > MAX_CACHED_ACCOUNTS:
        _valid_digests.clear()
    _valid_digests.update(digests.values())


def _digest(name, item):
    """Return a digest of an account; 1, 1.0 and true give different digests."""
    text = f"{name!r}={item!r}".encode()
    return blake2b(text, digest_size=DIGEST_BYTES).digest()

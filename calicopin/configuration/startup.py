"""Loads an operator's file for a start: checked, in the platform's form; and its watched partner list."""

from calicopin.configuration import check, convert, partners, read
from calicopin.facade import Place


class ConfigurationRefusedError(ValueError):
    """A configuration that a courier does not start with; one line for each finding."""


def load_for_start(path, environ):
    """(the platform's JSON as an object, the configuration); ConfigurationRefusedError where the file has
    errors, OSError where it cannot be read at the moment.
    """
    try:
        loaded = read.read(path, environ)
        findings, _ = check.examine(loaded)
    except read.TemporarilyUnreadableError as error:
        raise error.__cause__ from None
    except read.UnusableError as error:
        raise ConfigurationRefusedError(str(error)) from None
    if findings:
        raise ConfigurationRefusedError("\n".join(map(str, findings)))
    return convert.to_platform(loaded), loaded.configuration


def partner_list_loader(configuration):
    """A function that loads the places of a watched file; it raises ValueError with what is wrong, OSError
    where the file cannot be read at the moment.
    """

    def load(path):
        try:
            partner_tables, origins = partners.load(path)
        except read.TemporarilyUnreadableError as error:
            raise error.__cause__ from None
        except read.UnusableError as error:
            raise ValueError(str(error)) from None
        findings = partners.check_partners(
            partner_tables, configuration, lambda key: f"{origins.get(key, path)}: {key}"
        )
        if findings:
            raise ValueError("; ".join(map(str, findings)))
        return [
            Place(
                server["id"],
                server["addr"],
                server["cell"],
                server["kind"],
                server["zone"],
                True,
                server["weight"],
            )
            for server in partners.discovery_list(partner_tables)["servers"]
        ]

    return load

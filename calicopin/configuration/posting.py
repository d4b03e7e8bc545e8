"""What a start needs of an operator's file: read, checked, in the platform's form; and its watched list."""

from calicopin.configuration import check, convert, partners, read
from calicopin.facade import Place


class ConfigurationRefusedError(ValueError):
    """A configuration that a courier does not start with; one line for each thing that is wrong."""


def platform_form(path, environ):
    """(the platform's JSON as an object, the sheet); ConfigurationRefusedError where the file is at fault,
    OSError where it cannot be read just now.
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
    return convert.to_platform(loaded), loaded.sheet


def lister(configuration):
    """A function that turns a watched file into places, or raises ValueError with what is wrong, OSError
    where it cannot be read just now.
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

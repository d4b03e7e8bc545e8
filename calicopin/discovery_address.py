"""The address of discovery that is in force: that of the environment variable or that of the configuration
file, whichever was told last. No I/O.
"""

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class DiscoveryAddress:
    """The addresses (host:port, or "") that a process was told by the variable `LB_DISCOVERY` and by the
    configuration file; `prefers_file` says that the file's is the newer one.

    A process passes it on to the next one, which goes on from there with `following`.
    """

    variable: str
    file: str
    prefers_file: bool = False

    @property
    def in_force(self):
        """The address in force; "" if neither source names one."""
        preferred, fallback = (self.file, self.variable) if self.prefers_file else (self.variable, self.file)
        return preferred or fallback

    def following(self, previous):
        """These addresses as told to a process that follows one with `previous` (None: it is the first).

        A variable that has changed is the newest. Else a file that was preferred stays so, and a file that
        has changed is preferred from now on.
        """
        if previous is None or self.variable != previous.variable:
            return replace(self, prefers_file=False)
        return replace(self, prefers_file=previous.prefers_file or self.file != previous.file)

"""How long the rest of a request's stages takes at least."""


def compute_later_s(stages, counts, nominal_s, last_s):
    """Return, for each stage, the least time that what follows it needs.

    Args:
        stages (tuple of StageSpec): Stages of a route; each comes after those it needs.
        counts (tuple of int): Pieces of each stage.
        nominal_s (callable): ``nominal_s(service, pieces)`` returns the seconds that
            an idle pool needs.
        last_s (float): Time that the target of the request itself needs.
    """
    later = [last_s] * len(stages)
    for number in range(len(stages) - 1, -1, -1):
        pieces = counts[number] if number < len(counts) else 0
        own_s = nominal_s(stages[number].service, pieces) if pieces > 0 else 0.0
        for before in stages[number].after:
            later[before] = max(later[before], own_s + later[number])
    return later

"""Fleet layouts for experiments, modelled on the first two users."""

from __future__ import annotations

from dataclasses import replace

from guavabarrow_cli.embedded_fleet import Layout, LayoutService, LayoutTeam

ASSOCIATION_DOMAINS = ("dar-kariakoo", "dar-ubungo", "dar-temeke")
AUTHORITY_DOMAINS = ("tanta-hall", "mahalla-depot", "kafr-station")
VMS_PER_DOMAIN = 1
LARGE_TEAM_RATE_PER_S = 30.0
SMALL_TEAM_RATE_PER_S = 6.0


def create_layout(name: str, *, lag_ms: float, statement_ms: float) -> Layout:
    """Return the layout of a user.

    Parameters
    ----------
    name : str
        ``association`` or ``authority``.
    lag_ms : float
        Replication lag of the databases, ms.
    statement_ms : float
        Time for which a statement occupies a slot, ms.

    Returns
    -------
    Layout
        Three services, eight teams and three failure domains with one VM each. The
        users' nine VMs and all stand-ins would exceed the single core of an experiment.
    """
    layout = _association_layout() if name == "association" else _authority_layout()
    return replace(layout, lag_ms=lag_ms, statement_ms=statement_ms)


def _association_layout() -> Layout:
    services = tuple(f"orders-db-{number}" for number in (1, 2, 3))
    return Layout(
        vm_domains=ASSOCIATION_DOMAINS * VMS_PER_DOMAIN,
        services=tuple(
            LayoutService(name, ASSOCIATION_DOMAINS, connections=20, slots=3)
            for name in services
        ),
        teams=_create_teams(
            ("mlima-sellers", "bandari-sellers"),
            ("kilima", "mto", "pwani", "shamba", "soko", "barabara"),
            services,
        ),
    )


def _authority_layout() -> Layout:
    services = tuple(f"customer-core-{number}" for number in (1, 2, 3))
    return Layout(
        vm_domains=AUTHORITY_DOMAINS * VMS_PER_DOMAIN,
        services=tuple(
            LayoutService(name, AUTHORITY_DOMAINS, connections=30, slots=2)
            for name in services
        ),
        teams=_create_teams(
            ("customer-hall", "kiosks"),
            (
                "field-water",
                "field-power",
                "bakeries",
                "tanta-town",
                "mahalla-town",
                "kafr-town",
            ),
            services,
        ),
    )


def _create_teams(
    large: tuple[str, ...], small: tuple[str, ...], services: tuple[str, ...]
) -> tuple[LayoutTeam, ...]:
    teams = [
        LayoutTeam(
            name, services, LARGE_TEAM_RATE_PER_S, LARGE_TEAM_RATE_PER_S, weight=4.0
        )
        for name in large
    ]
    teams += [
        LayoutTeam(name, services, SMALL_TEAM_RATE_PER_S, 2 * SMALL_TEAM_RATE_PER_S)
        for name in small
    ]
    return tuple(teams)

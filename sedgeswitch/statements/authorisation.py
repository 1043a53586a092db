"""Who a request runs for, and where the selectors let it run."""

import typing

from sedgeswitch import verdicts
from sedgeswitch.configuration import follower
from sedgeswitch.keys import key_format
from sedgeswitch.keys import lookup
from sedgeswitch.membership import directory
from sedgeswitch.statements import backends
from sedgeswitch.statements import context
from sedgeswitch.statements import refusals

_DETAIL_BY_PROBLEM = {
    lookup.KeyProblem.MISSING: "authorization: expected 'Bearer KEY'",
    lookup.KeyProblem.MALFORMED: "authorization: the key is mistyped",
    lookup.KeyProblem.UNKNOWN: "authorization: no organisation has this key",
    lookup.KeyProblem.WITHDRAWN: "authorization: the key was withdrawn",
}


class SelectorFields(typing.NamedTuple):
    """What selectors look at in a request.

    Attributes
    ----------
    group : str
    work : str
    access : str
    """

    group: str
    work: str
    access: str


class Authoriser:
    """Checks keys and selectors against the configuration in force.

    Parameters
    ----------
    configuration : follower.Follower
    pools : backends.Backends
    freshness_bound_s : float
        Age of the configuration, in seconds, beyond which nothing is served:
        a key may have been withdrawn meanwhile.
    """

    def __init__(
        self,
        configuration: follower.Follower,
        pools: backends.Backends,
        freshness_bound_s: float,
    ):
        self._configuration = configuration
        self._backends = pools
        self._freshness_bound_s = freshness_bound_s

    def check_caller(self, authorization: str | None, now_s: float) -> str | None:
        """Return the organisation of a request's key; None without a key.

        Raises
        ------
        verdicts.RefusedError
            401 for a key that does not work, 503 if this host can't tell.
        """
        if self._configuration.get_age_s(now_s) > self._freshness_bound_s:
            raise verdicts.build_not_run(
                503,
                "configuration_stale",
                "this host has lost touch with the control hosts",
                refusals.RETRY_AFTER_MS,
            )
        bearer_key = lookup.get_bearer(authorization)
        if authorization and bearer_key is None:
            raise _build_unauthorised(lookup.KeyProblem.MALFORMED)
        if bearer_key is None:
            return None
        key_owner = self._configuration.index.check_key(bearer_key)
        if isinstance(key_owner, lookup.KeyProblem):
            raise _build_unauthorised(key_owner)
        return key_owner.organisation

    def authorise(
        self,
        organisation: str | None,
        selector_fields: SelectorFields,
        authorization: str | None = None,
    ) -> context.AuthorisedWork:
        """Return where a request may run.

        Parameters
        ----------
        organisation : str or None
        selector_fields : Purpose
        authorization : str or None, optional
            The caller's header, if its key is to be checked again after the
            request has waited.

        Raises
        ------
        verdicts.RefusedError
            401 or 403 if no selector matches the caller, 404 for an unknown
            group, 503 if no backend server that may serve is there now.
        """
        index = self._configuration.index
        group = index.document.groups.get(selector_fields.group)
        if group is None:
            raise verdicts.build_not_run(
                404,
                "unknown_group",
                f"group: expected a configured one, got {selector_fields.group!r}",
            )
        matched = index.get_selectors(
            organisation,
            selector_fields.work,
            selector_fields.access,
            selector_fields.group,
        )
        if not matched:
            raise _build_forbidden(organisation)
        bearer_key = lookup.get_bearer(authorization)
        # A digest, since what waits may end up in a traceback.
        digest = None if bearer_key is None else key_format.get_digest(bearer_key)
        eligibility = _Eligibility(
            self._configuration, self._backends, organisation, selector_fields, digest
        )
        if not eligibility.list_servers():
            raise verdicts.build_not_run(
                503,
                "no_backend_server",
                "every backend server that may serve this is away or drained",
                refusals.RETRY_AFTER_MS,
            )
        overload = index.document.overload
        return context.AuthorisedWork(
            organisation or "",
            selector_fields.group,
            group.database,
            eligibility,
            group.replicas_may_serve,
            group.ack_instances,
            overload.max_wait_ms / 1000,
        )


class _Eligibility(typing.NamedTuple):
    """Where a caller's statement may run; see `context.Eligibility`."""

    configuration: follower.Follower
    backends: backends.Backends
    organisation: str | None
    selector_fields: SelectorFields
    key_digest: str | None

    def list_servers(self) -> list[directory.BackendServer]:
        self._check_key()
        servers = self.backends.get_servers(self.selector_fields.group)
        return [server for server in servers if self._may_serve(server)]

    def may_run_on(self, instance: str) -> bool:
        self._check_key()
        server = self.backends.get_server(instance)
        return server is not None and self._may_serve(server)

    def _check_key(self) -> None:
        if self.key_digest is None:
            return
        indexed = self.configuration.index.keys.get(self.key_digest)
        if indexed is None:
            raise _build_unauthorised(lookup.KeyProblem.UNKNOWN)
        if indexed.withdrawn:
            raise _build_unauthorised(lookup.KeyProblem.WITHDRAWN)

    def _may_serve(self, server: directory.BackendServer) -> bool:
        index = self.configuration.index
        group, work, access = self.selector_fields
        matched = index.get_selectors(self.organisation, work, access, group)
        return index.may_serve(matched, server.instance, server.labels)


def _build_unauthorised(problem: lookup.KeyProblem) -> verdicts.RefusedError:
    return verdicts.build_not_run(
        401, f"key_{problem.value}", _DETAIL_BY_PROBLEM[problem]
    )


def _build_forbidden(organisation: str | None) -> verdicts.RefusedError:
    if organisation is None:
        return _build_unauthorised(lookup.KeyProblem.MISSING)
    return verdicts.build_not_run(
        403, "no_selector", f"no selector lets {organisation} do this work"
    )

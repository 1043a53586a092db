"""Checks of keys and selectors: the organisation of a request and its servers."""

import collections.abc
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


IsEvacuated = collections.abc.Callable[[directory.BackendServer], bool]


class SelectorFields(typing.NamedTuple):
    """The fields of a request that selectors match.

    Attributes
    ----------
    group : str
        Database group.
    work : str
        Kind of work.
    access : str
        ``read`` or ``write``.
    """

    group: str
    work: str
    access: str


class Authoriser:
    """Authorises requests by the keys and selectors of the configuration in force.

    Parameters
    ----------
    configuration : follower.Follower
    pools : backends.Backends
    freshness_bound_s : float
        Age of the configuration, in seconds, beyond which every request is refused,
        because a key may have been withdrawn in a newer configuration.
    is_evacuated : callable, optional
        Returns whether a backend server is in an evacuated availability zone.
    """

    def __init__(
        self,
        configuration: follower.Follower,
        pools: backends.Backends,
        freshness_bound_s: float,
        is_evacuated: IsEvacuated = lambda server: False,  # noqa: ARG005
    ):
        self._is_evacuated = is_evacuated
        self._configuration = configuration
        self._backends = pools
        self._freshness_bound_s = freshness_bound_s

    def check_caller(self, authorization: str | None, now_s: float) -> str | None:
        """Return the organisation of a request's key, None for a request without one.

        Raises
        ------
        verdicts.RefusedError
            401 for an invalid key, 503 if the configuration is too old to decide.
        """
        if self._configuration.get_age_s(now_s) > self._freshness_bound_s:
            raise verdicts.build_not_run(
                503,
                "configuration_stale",
                "the configuration of this host is too old: no control host answers",
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
        """Return where a request may run and under which settings.

        Parameters
        ----------
        organisation : str or None
            None for a request without a key.
        selector_fields : SelectorFields
        authorization : str or None, optional
            ``Authorization`` header of the caller, if its key is to be checked again
            whenever the eligible servers are listed.

        Raises
        ------
        verdicts.RefusedError
            401 or 403 if no selector matches the caller, 404 for an unknown group,
            503 if no backend server that may serve the request is available.
        """
        index = self._configuration.index
        group = index.document.groups.get(selector_fields.group)
        if group is None:
            raise verdicts.build_not_run(
                404,
                "unknown_group",
                f"group: expected a configured group, got {selector_fields.group!r}",
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
        # Only the digest is stored, because a traceback may show the stored fields.
        digest = None if bearer_key is None else key_format.get_digest(bearer_key)
        eligibility = _Eligibility(
            self._configuration,
            self._backends,
            organisation,
            selector_fields,
            digest,
            self._is_evacuated,
        )
        if not eligibility.list_servers():
            raise verdicts.build_not_run(
                503,
                "no_backend_server",
                "every backend server that may serve the request is absent, drained or"
                " in an evacuated availability zone",
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
    """Implements `context.Eligibility` for one request."""

    configuration: follower.Follower
    backends: backends.Backends
    organisation: str | None
    selector_fields: SelectorFields
    key_digest: str | None
    is_evacuated: IsEvacuated

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
        if self.is_evacuated(server):
            return False
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

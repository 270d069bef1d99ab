"""The transfer of large changes between routers over HTTP."""

from __future__ import annotations

from datetime import timedelta

import curio

from hibiscustiller.discovery._change_transfer import (
    TRANSFER_LIMITS,
    ChangeSender,
    TransferAnswer,
)
from hibiscustiller.discovery._view import Peer
from hibiscustiller.exceptions import TransportError
from hibiscustiller.platform import Revision
from hibiscustiller.settings import Address
from hibiscustiller.utils import Metrics, RouterId, Verdict, log_event
from hibiscustiller.wire import (
    HttpAnswer,
    HttpClient,
    HttpRequest,
    Responder,
    wait_at_most,
)

CHANGES_PATH = "/changes"
_STATUS_OK = 200
_BAD_REQUEST = 400
_UNAVAILABLE = 503
_OTHERS_HEADER = "x-ask-routers"
_BUSY_HEADER = "x-router-busy"
# A receiver that does not read is given up after this time.
_SEND_TIMEOUT = timedelta(seconds=2)


class ChangeExchange:
    """Serves changes to other routers, and requests them.

    :param router_id: this router.
    :param client: HTTP client for the other routers.
    :param metrics: counts the changes sent, and their bytes.
    """

    def __init__(
        self, router_id: RouterId, client: HttpClient, metrics: Metrics
    ) -> None:
        self._router_id = router_id
        self._client = client
        self._metrics = metrics

    async def request(
        self, peer: Peer, after: Revision, time_limit: timedelta
    ) -> TransferAnswer:
        """Request the changes after a revision from a router.

        :raises TransportError: if it gives no answer in time that can be used.
        """
        if peer.inner is None:
            raise TransportError("the router serves no requests", Verdict.NOT_RUN)
        target = f"{CHANGES_PATH}?era={after.era}&revision={after.number}"
        call = self._call(peer.inner, target)
        try:
            answer = await wait_at_most(time_limit, call)
        except TimeoutError as error:
            raise TransportError(str(error), Verdict.NOT_RUN) from error
        if answer.status == _STATUS_OK:
            await curio.spawn(self._confirm, peer.inner, daemon=True)
            return TransferAnswer(answer.body)
        if answer.status != _UNAVAILABLE:
            # A router of an earlier version does not know the path.
            raise TransportError(f"status {answer.status}", Verdict.NOT_RUN)
        names = answer.headers_by_name.get(_OTHERS_HEADER, "").split(",")
        return TransferAnswer(
            None,
            tuple(RouterId(name) for name in names if name),
            _BUSY_HEADER in answer.headers_by_name,
        )

    async def _call(self, address: Address, target: str) -> HttpAnswer:
        return await self._client.request(
            address,
            "GET",
            f"{target}&router={self._router_id}",
            timeout=TRANSFER_LIMITS.pause,
            transfer=TRANSFER_LIMITS,
        )

    async def _confirm(self, address: Address) -> None:
        """Tell a router that its changes have arrived, so that it sends to others."""
        try:
            await self._call(address, f"{CHANGES_PATH}?received=1")
        except TransportError as error:
            log_event("transfer_not_confirmed", source=address, reason=error)

    async def handle(
        self, sender: ChangeSender, request: HttpRequest, responder: Responder
    ) -> None:
        """Answer another router's request for changes, or its confirmation.

        :raises TransportError: if the other router does not take the answer.
        """
        query = request.query_by_name
        router_id = RouterId(query.get("router", ""))
        if "received" in query:
            sender.end_transfer(router_id, has_arrived=True)
            await responder.send(_STATUS_OK)
            return
        try:
            after = Revision(int(query["era"]), int(query["revision"]))
        except (KeyError, ValueError):
            await responder.send(_BAD_REQUEST)
            return
        answer = sender.answer(router_id, after)
        if answer.body is None:
            responder.extra_headers[_OTHERS_HEADER] = ",".join(answer.others)
            if answer.is_busy:
                responder.extra_headers[_BUSY_HEADER] = "1"
            await responder.send(_UNAVAILABLE)
            return
        self._metrics.count("changes.sent")
        self._metrics.count("changes.sent_bytes", len(answer.body))
        responder.write_timeout = _SEND_TIMEOUT
        try:
            await responder.send(_STATUS_OK, answer.body, "application/octet-stream")
        except TransportError:
            sender.end_transfer(router_id, has_arrived=False)
            raise

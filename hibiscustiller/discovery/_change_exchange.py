"""The transfer of large changes between routers over HTTP."""

from __future__ import annotations

from datetime import timedelta

from hibiscustiller.discovery._change_transfer import ChangeSender, TransferAnswer
from hibiscustiller.discovery._view import Peer
from hibiscustiller.exceptions import TransportError
from hibiscustiller.platform import Revision
from hibiscustiller.utils import Metrics, RouterId, Verdict
from hibiscustiller.wire import (
    HttpClient,
    HttpRequest,
    Responder,
    TransferLimits,
)

CHANGES_PATH = "/changes"
_STATUS_OK = 200
_UNAVAILABLE = 503
_OTHERS_HEADER = "x-ask-routers"
_BUSY_HEADER = "x-router-busy"
# A router that is not stopped, cut off or overloaded answers within this time.
_HEAD_TIMEOUT = timedelta(milliseconds=300)
# A third of the link of a small host; slower transfers are begun at another router.
_TRANSFER = TransferLimits(timedelta(milliseconds=300), 64_000)
# A receiver that does not read holds one of few transfers at most this long.
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

    async def request(self, peer: Peer, after: Revision) -> TransferAnswer:
        """Request the changes after a revision from a router.

        :raises TransportError: if it gives no answer that can be used.
        """
        if peer.inner is None:
            raise TransportError("the router serves no requests", Verdict.NOT_RUN)
        target = (
            f"{CHANGES_PATH}?era={after.era}&revision={after.number}"
            f"&router={self._router_id}"
        )
        answer = await self._client.request(
            peer.inner, "GET", target, timeout=_HEAD_TIMEOUT, transfer=_TRANSFER
        )
        if answer.status == _STATUS_OK:
            return TransferAnswer(answer.body)
        if answer.status != _UNAVAILABLE:
            # A router of an earlier version does not know the path.
            message = f"status {answer.status}"
            raise TransportError(message, Verdict.NOT_RUN)
        names = answer.headers_by_name.get(_OTHERS_HEADER, "").split(",")
        return TransferAnswer(
            None,
            tuple(RouterId(name) for name in names if name),
            _BUSY_HEADER in answer.headers_by_name,
        )

    async def handle(
        self, sender: ChangeSender, request: HttpRequest, responder: Responder
    ) -> None:
        """Answer another router's request for changes.

        :raises TransportError: if the other router does not take the answer.
        """
        query = request.query_by_name
        try:
            after = Revision(int(query["era"]), int(query["revision"]))
        except (KeyError, ValueError):
            await responder.send(400)
            return
        with sender.answer(RouterId(query.get("router", "")), after) as answer:
            if answer.body is None:
                responder.extra_headers[_OTHERS_HEADER] = ",".join(answer.others)
                if answer.is_busy:
                    responder.extra_headers[_BUSY_HEADER] = "1"
                await responder.send(_UNAVAILABLE)
                return
            self._metrics.count("changes.sent")
            self._metrics.count("changes.sent_bytes", len(answer.body))
            responder.write_timeout = _SEND_TIMEOUT
            await responder.send(_STATUS_OK, answer.body, "application/octet-stream")

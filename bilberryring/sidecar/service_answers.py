"""Answers of a plain service, with those that end with their connection."""

from bilberryring.http import HttpClient, HttpResponse, UnmarkedAnswerError


async def request_answer(
    client: HttpClient, method: str, path: str, **options
) -> HttpResponse:
    """Send a call and return its whole answer; `options` are those of `request`.

    A body without a length or chunks is whole when its connection is closed in order
    (RFC 9112, section 6.3). The kernel also closes the connections of a process that
    crashes so; then no new one is accepted, and `UnmarkedAnswerError` is raised.
    """
    try:
        return await client.request(method, path, **options)
    except UnmarkedAnswerError as error:
        if not await client.accepts_connection():
            raise
        return error.answer

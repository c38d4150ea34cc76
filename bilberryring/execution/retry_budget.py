"""The retry budget of one entry, which limits retries to a share of the requests.

>>> budget = RetryBudget(share=0.25, reserve=1.0)
>>> budget.try_spend(), budget.try_spend()
(True, False)
>>> for _ in range(4): budget.record_request()
>>> budget.try_spend()
True
"""

RETRY_SHARE = 0.1
RETRY_RESERVE = 10.0


class RetryBudget:
    """Each request earns `share` of a retry; at most `reserve` retries are saved.

    The budget starts with `reserve` retries.
    """

    def __init__(self, *, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE):
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    @property
    def balance(self) -> float:
        """The number of retries that may be spent now, with fractions."""
        return self._balance

    def record_request(self) -> None:
        """Add the share that one request earns."""
        self._balance = min(self._balance + self._share, self._reserve)

    def try_spend(self) -> bool:
        """Spend one retry; `False` when none is left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

"""Bookings at an endpoint that never answers: what they hold after their deadline."""

from bilberryring.testing.processes import pause

N_BOOKINGS = 3


def is_open(connection):
    connection.settimeout(0.05)
    try:
        return connection.recv(1) != b""
    except TimeoutError:
        return True
    except OSError:
        return False


def test_no_connection_of_a_booking_is_held_long_after_its_deadline(site):
    endpoint = site.add_endpoint("a", lambda request, connection: pause(30.0))
    site.start_gateway()
    for _ in range(N_BOOKINGS):
        site.call("/charge/", Bilberryring_Deadline_Ms="500")
    pause(6.0)
    used = [item for item in endpoint.connections]
    assert len(endpoint.requests) == N_BOOKINGS
    assert sum(is_open(connection) for connection in used) == 0

"""Forecast, reserve, appointments and shares, each without an admission."""

import random
import sys
from datetime import timedelta

from hibiscustiller.layers._appointments import INTERVAL, AppointmentBook
from hibiscustiller.layers._fair_shares import HeldTokens
from hibiscustiller.layers._forecast import ArrivalForecast
from hibiscustiller.layers._reserve import MAX_RESERVE_SHARE, Reserve
from hibiscustiller.layers.tests.fixtures import MS
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
CAPACITY = 150_000.0


def make_forecast(*rates, held_for=4 * SECOND):
    """Return a forecast after one second at each rate, in requests of 900 tokens."""
    forecast = ArrivalForecast()
    for second, rate in enumerate(rates):
        for number in range(rate):
            moment = (second + number / rate) * SECOND
            forecast.record_arrival(moment, 0, 900.0)
            forecast.record_held(0, held_for)
    return forecast, len(rates) * SECOND


def compute_reserve(forecast, now, held):
    """Return what class 1 leaves free for class 0, which holds some tokens."""
    forecast.record_arrival(now, 1, 900.0)
    forecast.record_held(1, 4 * SECOND)
    reserve = Reserve(forecast, {0: held, 1: 50_000.0}.get)
    return reserve.compute(now, 1, CAPACITY)


def test_a_steady_rate_is_forecast_as_it_is():
    """Guards against averages that begin too low, and a trend where there is none."""
    for duration in (1, 2, 20):
        forecast, now = make_forecast(*[20] * duration)
        rate = forecast.get_rate(now, 0, 3 * SECOND)
        assert 0.85 * 18_000 < rate < 1.15 * 18_000


def test_a_rising_rate_is_forecast_above_and_a_falling_one_below():
    """Guards against a reserve that follows a burst only when it is over."""
    forecast, now = make_forecast(*[20] * 10, 40, 60)
    assert forecast.get_rate(now, 0, 2 * SECOND) > forecast.get_rate(now, 0)
    assert forecast.get_rate(now, 0, 60 * SECOND) < 2 * 60 * 900
    forecast, now = make_forecast(*[60] * 10, 20, 5)
    assert 0 <= forecast.get_rate(now, 0, 2 * SECOND) < forecast.get_rate(now, 0)
    assert forecast.get_settled_rate(now, 0, 9 * SECOND) > forecast.get_rate(now, 0)


def test_room_is_reserved_for_growth_only():
    """Guards against idle places while the urgent class holds what it needs."""
    steady, now = make_forecast(*[20] * 10)
    assert compute_reserve(steady, now, held=80 * 900) == 0
    rising, now = make_forecast(*[20] * 10, 30, 40)
    assert compute_reserve(rising, now, held=80 * 900) == MAX_RESERVE_SHARE * CAPACITY
    ended, now = make_forecast(*[20] * 10, *[0] * 30)
    assert compute_reserve(ended, now, held=0.0) < 900


def test_nothing_is_reserved_before_a_second_of_arrivals():
    """Guards against a new allocator that reserves room by its first requests."""
    forecast = ArrivalForecast()
    for number in range(30):
        forecast.record_arrival(number * 30 * MS, 0, 900.0)
        forecast.record_held(0, 4 * SECOND)
    assert compute_reserve(forecast, 900 * MS, held=0.0) == 0
    assert compute_reserve(forecast, 1000 * MS, held=0.0) > 0


def test_appointments_do_not_exceed_the_room_of_their_interval():
    """Guards against callers who return together and are refused again."""
    book = AppointmentBook(random.Random(1))
    delays = [
        book.book(10 * SECOND, 1, 900.0, 20 * SECOND, lambda ahead: 7200.0)
        for _ in range(30)
    ]
    assert all(is_expected for _, is_expected in delays)
    moments = [10 * SECOND + delay for delay, _ in delays]
    by_interval = [moment // INTERVAL for moment in moments]
    assert all(by_interval.count(interval) == 2 for interval in set(by_interval))
    assert len(set(moments)) == 30
    assert SECOND < min(delays)[0] < 1.6 * SECOND


def test_appointments_of_more_urgent_classes_come_first():
    """Guards against an appointment at room that an urgent class was promised."""
    book = AppointmentBook(random.Random(1))

    def make_appointment(priority):
        return book.book(SECOND, priority, 900.0, 20 * SECOND, lambda ahead: 3600.0)[0]

    urgent = [make_appointment(0) for _ in range(5)]
    assert make_appointment(1) > max(urgent)


def test_room_of_a_small_class_adds_up():
    """Guards against a class that never gets enough room in one interval."""
    book = AppointmentBook(random.Random(1))
    delay, is_expected = book.book(SECOND, 2, 900.0, 20 * SECOND, lambda ahead: 1200.0)
    assert is_expected and 1.75 * SECOND < delay < 2.5 * SECOND


def test_without_room_the_latest_appointments_are_given_out():
    """Guards against delays beyond the caller's time, or all at one moment."""
    book = AppointmentBook(random.Random(1))
    for remaining in (20, 8, 3, 0):
        delays = [
            book.book(SECOND, 1, 900.0, remaining * SECOND, lambda ahead: 0.0)
            for _ in range(20)
        ]
        assert not any(is_expected for _, is_expected in delays)
        assert max(delays)[0] <= 0.3 * remaining * SECOND
        assert remaining == 0 or len(set(delays)) > 15
        assert min(delays)[0] >= 0.3 * remaining * SECOND - 2 * INTERVAL


def test_past_appointments_are_dropped():
    """Guards against a book that grows, and counts that block later callers."""
    book = AppointmentBook(random.Random(1))
    for _ in range(50):
        book.book(SECOND, 1, 900.0, 20 * SECOND, lambda ahead: 0.0)
    book.book(30 * SECOND, 1, 900.0, 20 * SECOND, lambda ahead: 7200.0)
    assert book.booked_tokens == 900


def test_shares_are_equal_among_those_that_hold_or_ask():
    """Guards against shares that count organisations without requests."""
    held = HeldTokens()
    for organisation, count in (("large", 6), ("small", 2), ("gone", 1)):
        for _ in range(count):
            held.add(1, organisation, 900.0)
    assert held.find_over_share(1, {"large", "small", "new"}) == {"large"}
    held.remove(1, "gone", 900.0)
    held.remove(1, "gone", 900.0)
    assert held.count_organisations(1) == 2
    assert held.find_over_share(1, {"large"}) == {"large"}
    assert held.find_over_share(0, {"large"}) == set()
    for organisation, count in (("large", 6), ("small", 2)):
        for _ in range(count):
            held.remove(1, organisation, 900.0)
    assert held.total == 0 and held.priorities == []


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])

"""Reports, views and options of instances."""

from sedgeswitch.routing import reports
from sedgeswitch.routing import router
from sedgeswitch.routing import shares

ROUND_TRIPS_S = (0.0005, 0.003, 0.02)
SERVICE_S = 0.03
SLOTS = 5


def build_report(demand=0.5, **changes):
    defaults = {
        "slots": SLOTS,
        "running": 1,
        "waiting": 0,
        "holders": 2,
        "service_s": SERVICE_S,
        "demand": demand,
    }
    return reports.Report(**(defaults | changes))


def build_option(name, distance, utilisation=0.2, age_s=0.0, service_s=SERVICE_S):
    view = reports.View(utilisation, SLOTS, service_s, 0.0, age_s)
    return shares.Option(name, ROUND_TRIPS_S[distance], distance, view)


def build_place(name, distance):
    return router.Place(name, ROUND_TRIPS_S[distance], distance, SLOTS, 0.02)

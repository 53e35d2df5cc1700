/* Converts statuses of the state service's answers into results, and results into names. */
#include "store/internal.h"

enum pm_store_result pm_store_result_from_status(int status)
{
    switch (status) {
    case 200:
        return PM_STORE_OK;
    case 400:
        return PM_STORE_REJECTED;
    case 404:
        return PM_STORE_NOT_FOUND;
    case 409:
        return PM_STORE_CONFLICT;
    case 429:
        return PM_STORE_THROTTLED;
    case PM_HTTP_NO_RESPONSE:
        return PM_STORE_UNKNOWN_OUTCOME;
    case PM_HTTP_NOT_SENT:
        return PM_STORE_NOT_SENT;
    default:
        return PM_STORE_UNAVAILABLE;
    }
}

const char *pm_store_result_name(enum pm_store_result result)
{
    switch (result) {
    case PM_STORE_OK:
        return "ok";
    case PM_STORE_REJECTED:
        return "rejected";
    case PM_STORE_NOT_FOUND:
        return "not found";
    case PM_STORE_CONFLICT:
        return "conflict";
    case PM_STORE_THROTTLED:
        return "throttled";
    case PM_STORE_UNAVAILABLE:
        return "unavailable";
    case PM_STORE_UNKNOWN_OUTCOME:
        return "unknown outcome";
    case PM_STORE_NOT_SENT:
        return "not sent";
    }
    return "";
}

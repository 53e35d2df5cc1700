/* The HTTP status codes that the fake services and simulated users send or expect. */
#ifndef PM_TESTING_HTTP_STATUS_H
#define PM_TESTING_HTTP_STATUS_H

enum {
    HTTP_OK = 200,
    HTTP_CREATED = 201,
    HTTP_BAD_REQUEST = 400,
    HTTP_NOT_FOUND = 404,
    HTTP_CONFLICT = 409,
    HTTP_GONE = 410,
    HTTP_MISDIRECTED = 421,
    HTTP_UNAVAILABLE = 503
};

#endif

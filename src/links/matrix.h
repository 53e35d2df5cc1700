/* The reachability matrix: for each controller its view of its own links, and how old that is.
 *
 * A view travels in the peers' responses, with its age in place of a time of day: clocks of
 * different machines are not compared. It is read only from responses, never from requests, which
 * the network may have delayed for minutes; a response is no older than the call that it ends.
 *
 * No I/O and no locks: the matrix belongs to struct pm_links, whose lock guards it. Times are
 * monotonic seconds of this process. */
#ifndef PM_LINKS_MATRIX_H
#define PM_LINKS_MATRIX_H

#include "base/cbor.h"
#include "base/settings.h"
#include "links/link.h"

#include <stdbool.h>
#include <stdint.h>

enum { PM_CONTROLLERS_MAX = PM_PEERS_MAX + 1, PM_VIEW_ENDPOINTS = 2 };

/* What one controller knows of its links. Controllers are counted from 0, this process, on: peer i
 * of the settings is i + 1. */
struct pm_view {
    double evaluated_at; /* monotonic: no older than this; 0: none is known */
    bool leads;
    uint64_t epoch;
    uint8_t state_service, cloud; /* enum pm_link_state: to the state service and the cloud */
    uint8_t peer[PM_CONTROLLERS_MAX];
    uint8_t zone[PM_ZONES_MAX];
    /* Workers' addresses in each zone, for the others' probes; "": none. */
    char endpoint[PM_ZONES_MAX][PM_VIEW_ENDPOINTS][64];
};

struct pm_matrix {
    const struct pm_settings *settings; /* borrowed */
    double expire_s;                    /* a view older than this is not used */
    int controller_count;               /* how many there are, this one included */
    struct pm_view view[PM_CONTROLLERS_MAX];
};

/* matrix.c */

/* Initializes a matrix without views; `settings` must outlive it. */
void pm_matrix_init(struct pm_matrix *matrix, const struct pm_settings *settings, double expire_s);
/* The index of the controller of that name, -1: not in the settings. */
int pm_matrix_find_controller(const struct pm_matrix *matrix, const char *name);
/* The name of the controller, borrowed from the settings. */
const char *pm_matrix_controller_name(const struct pm_matrix *matrix, int controller);
/* Whether the controller's view is known and has not expired. */
bool pm_matrix_is_fresh(const struct pm_matrix *matrix, int controller, double now);
/* Copies the view into the matrix unless one at least as new is there. */
void pm_matrix_update(struct pm_matrix *matrix, int controller, const struct pm_view *view);

/* view_message.c: the message between controllers, links.proto */

enum { PM_VIEWS_BYTES_MAX = 16 * 1024 };

/* All fresh views as a message, owned by the caller (g_free); `size` in bytes. Views of other
 * controllers are left out where they would make it longer than PM_VIEWS_BYTES_MAX. */
unsigned char *pm_views_encode(const struct pm_matrix *matrix, double now, size_t *size);
/* Updates the matrix from a peer's response to a call that was sent at `asked_at`. Each view is as
 * old as the message says, and as the call. Views of unknown controllers and states of unknown
 * links are ignored; so are all views when the call was sent longer ago than a view counts. False:
 * malformed or too long. */
bool pm_views_decode(struct pm_matrix *matrix, const unsigned char *data, size_t size,
                     double asked_at, double now);

/* view_value.c: the value in the state service, p/links/NAME */

/* Writes this process's own view. */
void pm_view_encode(const struct pm_matrix *matrix, struct pm_buffer *out);
/* Reads another's. Its time and the workers' addresses are not part of the value and stay zero.
 * False: malformed; `out` is then unspecified. */
bool pm_view_decode(const struct pm_matrix *matrix, const cbor_item_t *value, struct pm_view *out);

/* The state of that number, PM_LINK_UNKNOWN for a number of a later version. */
static inline uint8_t pm_link_state_from_number(uint64_t number)
{
    return number < PM_LINK_STATES ? (uint8_t)number : PM_LINK_UNKNOWN;
}

#endif

/* The reachability matrix: for each controller the view of its own links, and the view's age.
 *
 * Views travel in the responses between controllers, with their age rather than a time of day:
 * clocks of different machines are never compared. Views are read only from responses, never from
 * requests, which the network may have delayed for minutes. A response is no older than the call
 * that it answers.
 *
 * Does no I/O and takes no locks: the matrix belongs to struct pm_links, whose lock guards it.
 * Times are monotonic seconds of this process. */
#ifndef PM_LINKS_MATRIX_H
#define PM_LINKS_MATRIX_H

#include "base/cbor.h"
#include "base/settings.h"
#include "links/link.h"

#include <stdbool.h>
#include <stdint.h>

/* PM_VIEW_ENDPOINTS_MAX limits the addresses for each zone of a view. */
enum { PM_CONTROLLERS_MAX = PM_PEERS_MAX + 1, PM_VIEW_ENDPOINTS_MAX = 2 };

/* What one controller knows of its links. Index 0 is this process; peer i of the settings has the
 * index i + 1. */
struct pm_link_view {
    /* Monotonic time at which the view was evaluated. For a view that a peer sent, a lower bound of
     * that time; for a view read from the state service, the time at which it arrived here. 0 if no
     * view is known. */
    double evaluated_at;
    bool leads;
    uint64_t epoch;
    uint8_t state_service, cloud; /* enum pm_link_state of the links to these two */
    uint8_t peer[PM_CONTROLLERS_MAX];
    uint8_t zone[PM_ZONES_MAX];
    /* Addresses of workers in each zone, for other controllers' probes; "" if there are fewer. */
    char endpoint[PM_ZONES_MAX][PM_VIEW_ENDPOINTS_MAX][64];
};

struct pm_link_matrix {
    const struct pm_settings *settings; /* borrowed */
    double expire_s;                    /* a view older than this is not used */
    int controller_count;               /* including this one */
    struct pm_link_view view[PM_CONTROLLERS_MAX];
};

/* ---- matrix.c ---- */

/* Initializes a matrix without views. `settings` must outlive it. */
void pm_link_matrix_init(struct pm_link_matrix *matrix, const struct pm_settings *settings,
                         double expire_s);
/* The index of the controller with this name, or -1 if it is not in the settings. */
int pm_link_matrix_find_controller(const struct pm_link_matrix *matrix, const char *name);
/* The name of the controller, borrowed from the settings. */
const char *pm_link_matrix_controller_name(const struct pm_link_matrix *matrix, int controller);
/* Whether the controller's view is known and has not expired. */
bool pm_link_matrix_is_view_fresh(const struct pm_link_matrix *matrix, int controller, double now);
/* Copies the view into the matrix if it is newer than the one there. */
void pm_link_matrix_update(struct pm_link_matrix *matrix, int controller,
                           const struct pm_link_view *view);

/* ---- view_message.c: the message between controllers, links.proto ---- */

enum { PM_VIEWS_BYTES_MAX = 16 * 1024 };

/* Encodes all fresh views as a message of `size` bytes, which the caller frees with g_free. Leaves
 * out views of other controllers that would make it longer than PM_VIEWS_BYTES_MAX. */
unsigned char *pm_link_views_encode_message(const struct pm_link_matrix *matrix, double now,
                                            size_t *size);
/* Updates the matrix from a peer's response to a call that was sent at `sent_at`. A view's age is
 * the age in the message plus the time since the call was sent. Ignores views of unknown
 * controllers, states of unknown links, and all views if the call was sent longer ago than
 * `expire_s`. Returns false if the message is malformed or too long. */
bool pm_link_views_decode_message(struct pm_link_matrix *matrix, const unsigned char *data,
                                  size_t size, double sent_at, double now);

/* ---- view_value.c: the value at p/links/NAME in the state service ---- */

/* Appends this process's own view to `out`. */
void pm_link_view_encode_value(const struct pm_link_matrix *matrix, struct pm_buffer *out);
/* Reads the view of another controller. The value does not contain its time and the workers'
 * addresses, which stay zero in `out`. Returns false, with `out` unspecified, if the value is
 * malformed. */
bool pm_link_view_decode_value(const struct pm_link_matrix *matrix, const cbor_item_t *value,
                               struct pm_link_view *out);

/* The state with this number, or PM_LINK_UNKNOWN if only a later version has a state of this
 * number. */
static inline uint8_t pm_link_state_from_number(uint64_t number)
{
    return number < PM_LINK_STATE_COUNT ? (uint8_t)number : PM_LINK_UNKNOWN;
}

#endif

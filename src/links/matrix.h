/* Who reaches whom: one view for each controller, as old as it is.
 *
 * A view travels in the peers' answers, with its age in place of a time of day: clocks of different
 * machines are not compared. It is taken only from an answer, never from a request, which the
 * network may have held back for minutes; an answer is no older than the call that it ends. */
#ifndef PM_LINKS_MATRIX_H
#define PM_LINKS_MATRIX_H

#include "base/cbor.h"
#include "base/settings.h"
#include "links/link.h"

#include <stdbool.h>
#include <stdint.h>

enum { PM_CONTROLLERS_MAX = PM_PEERS_MAX + 1, PM_VIEW_ENDPOINTS = 2 };

/* What one controller sees of its links. Controllers are counted from 0, this process, on: peer i
 * of the settings is i + 1. */
struct pm_view {
    double at; /* steady, of this process: no older than this; 0: none is known */
    bool leads;
    uint64_t epoch;
    uint8_t state, cloud; /* enum pm_link_state */
    uint8_t peer[PM_CONTROLLERS_MAX];
    uint8_t zone[PM_ZONES_MAX];
    /* Workers' addresses in each zone, for the others' probes. */
    char endpoint[PM_ZONES_MAX][PM_VIEW_ENDPOINTS][64];
};

struct pm_matrix {
    const struct pm_settings *settings;
    double expire_s; /* a view older than this says nothing */
    int controllers;
    struct pm_view view[PM_CONTROLLERS_MAX];
};

void pm_matrix_init(struct pm_matrix *matrix, const struct pm_settings *settings, double expire_s);
/* The index of the controller of that name, -1: not in the settings. */
int pm_matrix_controller(const struct pm_matrix *matrix, const char *name);
const char *pm_matrix_name(const struct pm_matrix *matrix, int controller);
/* Whether the controller's view is known and no older than it may be. */
bool pm_matrix_is_fresh(const struct pm_matrix *matrix, int controller, double now);
/* Takes a view unless one at least as new is there. */
void pm_matrix_take(struct pm_matrix *matrix, int controller, const struct pm_view *view);

/* All fresh views as a message (links.proto), owned by the caller; `relayed` views are left out
 * where they would make it longer than PM_VIEWS_BYTES_MAX. */
enum { PM_VIEWS_BYTES_MAX = 16 * 1024 };
unsigned char *pm_views_encode(const struct pm_matrix *matrix, double now, size_t *size);
/* Takes what a peer's answer told, to a call that was sent at `asked_at`: as old as each says, and
 * as old as the call. Views of unknown controllers and states of unknown links are passed over.
 * False: malformed. */
bool pm_views_decode(struct pm_matrix *matrix, const unsigned char *data, size_t size,
                     double asked_at, double now);

/* This process's own view as a value for the state service (p/links/NAME), and back. */
void pm_view_encode(const struct pm_matrix *matrix, struct pm_buf *out);
bool pm_view_decode(const struct pm_matrix *matrix, const cbor_item_t *value, struct pm_view *out);

#endif

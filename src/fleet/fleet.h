/* The cloud: what to rent, what to return, and the calls. Deciding is apart from calling, and takes
 * the time as an argument. */
#ifndef PM_FLEET_FLEET_H
#define PM_FLEET_FLEET_H

#include "placement/plan.h"

struct ev_loop;
struct pm_duties;
struct pm_fleet;

struct pm_fleet_hooks {
    void (*types)(void *arg, const cbor_item_t *models); /* the cloud told its machine types */
    void (*gone)(void *arg, struct pm_machine *machine); /* a release was confirmed */
    void (*changed)(void *arg);                          /* the replica of machines changed */
    void *arg;
};

struct pm_fleet *pm_fleet_new(struct pm_http_client *http, struct pm_name_tables *tables,
                              struct pm_jobs *jobs, struct pm_workers *workers,
                              struct pm_plan *plan, const struct pm_operator *op,
                              const struct pm_fleet_hooks *hooks);
void pm_fleet_free(struct pm_fleet *fleet);
/* From now on machines are rented and returned under duties, while these are active. */
void pm_fleet_set_duties(struct pm_fleet *fleet, struct pm_duties *duties);
/* On taking the lead, once all places are found again: machines in open intents are being returned,
 * and get no work. */
void pm_fleet_adopt_intents(struct pm_fleet *fleet);
/* How long a machine may idle before it goes back, on a fleet of so many. */
double pm_fleet_idle_s(const struct pm_operator *op, int machines);
/* Marks the machines that are to go back: idle, silent, failed, taken. */
void pm_fleet_review(struct pm_fleet *fleet, double now);
/* On taking the lead, after the reset: reads from the ledger which zones were silent when the
 * leader before wrote it, and since when. */
void pm_fleet_read_heard(struct pm_fleet *fleet, const cbor_item_t *ledger, double now, double day);
/* On taking or losing the lead; `epoch` makes the request names of this term its own. */
void pm_fleet_reset(struct pm_fleet *fleet, uint64_t epoch);
/* Reads the machine types into the replica; false when malformed. */
bool pm_fleet_read_types(struct pm_name_tables *tables, const cbor_item_t *models);
/* Asks the cloud for the machine types, for a controller that knows none. */
void pm_fleet_ask_types(struct pm_fleet *fleet, double now);
/* Whether placements can be written; while they can't, nothing that runs is given up. */
void pm_fleet_set_writable(struct pm_fleet *fleet, bool writable, double now);
/* Leader only: decides, and sends what the cloud's limit has room for. */
void pm_fleet_run(struct pm_fleet *fleet, double now, double day);

/* One thing to rent. */
struct pm_rent {
    int type, zone;
    bool spot;
    int count;
};
/* What the waiting work and the reserve need beyond the machines that are up or booting. */
int pm_fleet_size(struct pm_fleet *fleet, double now, double day, struct pm_rent *out, int max);

/* Whether the machine's release was confirmed: it is gone, whatever else is said of it. */
bool pm_fleet_returned(const struct pm_fleet *fleet, const char *machine);

#endif

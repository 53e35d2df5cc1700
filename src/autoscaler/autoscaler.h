/* The cloud: what to rent, what to return, and the calls. Deciding is apart from calling, and takes
 * the time as an argument. */
#ifndef PM_AUTOSCALER_AUTOSCALER_H
#define PM_AUTOSCALER_AUTOSCALER_H

#include "scheduler/scheduler.h"

struct ev_loop;
struct pm_roles;
struct pm_autoscaler;

struct pm_autoscaler_hooks {
    void (*machine_types)(void *arg,
                          const cbor_item_t *models); /* the cloud told its machine types */
    void (*machine_terminated)(void *arg, struct pm_machine *machine); /* a release was confirmed */
    void (*changed)(void *arg); /* the replica of machines changed */
    void *arg;
};

struct pm_autoscaler *pm_autoscaler_new(struct pm_http_client *http, struct pm_name_tables *tables,
                                        struct pm_jobs *jobs, struct pm_workers *workers,
                                        struct pm_scheduler *plan,
                                        const struct pm_operator_settings *op,
                                        const struct pm_autoscaler_hooks *hooks);
void pm_autoscaler_free(struct pm_autoscaler *fleet);
/* From now on machines are rented and returned under duties, while these are active. */
void pm_autoscaler_set_duties(struct pm_autoscaler *fleet, struct pm_roles *duties);
/* On taking the lead, once all places are found again: machines in open intents are being returned,
 * and get no work. */
void pm_autoscaler_adopt_intents(struct pm_autoscaler *fleet);
/* How long a machine may idle before it goes back, on a fleet of so many. */
double pm_autoscaler_idle_timeout_s(const struct pm_operator_settings *op, int machines);
/* Marks the machines that are to go back: idle, silent, failed, taken. */
void pm_autoscaler_mark_scale_in(struct pm_autoscaler *fleet, double now);
/* On taking the lead, after the reset: reads from the ledger which zones were silent when the
 * leader before wrote it, and since when. */
void pm_autoscaler_decode_silent_zones(struct pm_autoscaler *fleet, const cbor_item_t *ledger,
                                       double now, double day);
/* On taking or losing the lead; `epoch` makes the request names of this term its own. */
void pm_autoscaler_reset(struct pm_autoscaler *fleet, uint64_t epoch);
/* Reads the machine types into the replica; false when malformed. */
bool pm_machine_types_decode(struct pm_name_tables *tables, const cbor_item_t *models);
/* Asks the cloud for the machine types, for a controller that knows none. */
void pm_autoscaler_request_machine_types(struct pm_autoscaler *fleet, double now);
/* Whether placements can be written; while they can't, nothing that runs is given up. */
void pm_autoscaler_set_writable(struct pm_autoscaler *fleet, bool writable, double now);
/* Leader only: decides, and sends what the cloud's limit has room for. */
void pm_autoscaler_run(struct pm_autoscaler *fleet, double now, double day);

/* One thing to rent. */
struct pm_scale_out_request {
    int type, zone;
    bool spot;
    int count;
};
/* What the waiting work and the reserve need beyond the machines that are up or booting. */
int pm_autoscaler_size(struct pm_autoscaler *fleet, double now, double day,
                       struct pm_scale_out_request *out, int max);

/* Whether the machine's release was confirmed: it is gone, whatever else is said of it. */
bool pm_autoscaler_is_terminated(const struct pm_autoscaler *fleet, const char *machine);

#endif

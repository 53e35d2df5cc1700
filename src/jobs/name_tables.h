/* Names that jobs and machines share, as dense indices.
 *
 * One set of tables a controller, made by it and guarded by `struct pm_controller.lock`. Every
 * module interns names where it reads values, and uses only indices after that; an index is never
 * reused. The autoscaler fills in the machine types. */
#ifndef PM_JOBS_NAME_TABLES_H
#define PM_JOBS_NAME_TABLES_H

#include "base/names.h"
#include "base/settings.h"

#include <stdint.h>

enum { PM_TYPES_MAX = 64 };

/* A machine type, as the provider lists it. */
struct pm_type {
    double cpus, gpus, ram_gb, local_gb;
    double pull_gb_per_s;
    double price, spot_price;
    double ready_s; /* from the request until its worker starts */
    uint32_t zones; /* bit i: offered in zone i of the settings */
};

struct pm_name_tables {
    const struct pm_settings *settings; /* borrowed */
    struct pm_names *class_names, *image_names, *type_names, *machine_names;
    struct pm_names *dependency_ids; /* of jobs that others depend on */
    unsigned protocol_version;       /* that every controller reads (base/protocol.h) */
    int type_count;                  /* machine types that are known; 0: not listed yet */
    struct pm_type types[PM_TYPES_MAX];
};

/* Makes empty tables. `settings` is borrowed, and outlives them. */
void pm_name_tables_init(struct pm_name_tables *tables, const struct pm_settings *settings);
/* Frees the names; the structure itself is the caller's. */
void pm_name_tables_clear(struct pm_name_tables *tables);

#endif

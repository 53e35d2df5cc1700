/* Interned names that jobs and machines share: each name has a dense index.
 *
 * The controller creates one set of tables, guarded by `struct pm_controller.lock`. Every module
 * interns names when it decodes values, and uses only the indices from then on. An index is never
 * reused. The autoscaler fills in the machine types. */
#ifndef PM_JOBS_NAME_TABLES_H
#define PM_JOBS_NAME_TABLES_H

#include "base/names.h"
#include "base/settings.h"

#include <stdint.h>

enum { PM_MACHINE_TYPES_MAX = 64 };

/* A machine type, as listed by the provider. */
struct pm_machine_type {
    double cpus, gpus, ram_gb, local_gb; /* `local_gb` is the size of the local disk */
    double pull_gb_per_s;                /* rate at which a machine fetches images */
    double price, spot_price;
    double ready_s; /* from the request for a machine until its worker starts */
    uint32_t zones; /* bit i is set if the type is offered in zone i of the settings */
};

struct pm_name_tables {
    const struct pm_settings *settings; /* borrowed */
    /* Names of job classes (pm_spec.class_index), of container images, of machine types (an index
     * is also the index in `types`), and of machines. */
    struct pm_names *class_names, *image_names, *type_names, *machine_names;
    struct pm_names *dependency_ids; /* ids of jobs with dependencies or dependents */
    unsigned protocol_version;       /* highest that every controller reads (base/protocol.h) */
    int type_count; /* number of known machine types; 0 if they are not known yet */
    struct pm_machine_type types[PM_MACHINE_TYPES_MAX];
};

/* Initializes empty tables. `settings` is borrowed, and must outlive them. */
void pm_name_tables_init(struct pm_name_tables *tables, const struct pm_settings *settings);
/* Frees the names, but not the structure itself, which belongs to the caller. */
void pm_name_tables_clear(struct pm_name_tables *tables);

#endif

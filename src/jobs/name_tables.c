/* The tables of interned names that jobs and machines share. */
#include "jobs/name_tables.h"

#include <string.h>

void pm_name_tables_init(struct pm_name_tables *tables, const struct pm_settings *settings)
{
    memset(tables, 0, sizeof *tables);
    tables->settings = settings;
    tables->class_names = pm_names_new();
    tables->image_names = pm_names_new();
    tables->type_names = pm_names_new();
    tables->machine_names = pm_names_new();
    tables->dependency_ids = pm_names_new();
}

void pm_name_tables_clear(struct pm_name_tables *tables)
{
    pm_names_free(tables->class_names);
    pm_names_free(tables->image_names);
    pm_names_free(tables->type_names);
    pm_names_free(tables->machine_names);
    pm_names_free(tables->dependency_ids);
}

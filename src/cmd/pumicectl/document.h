/* Reading and making the JSON documents of reports. */
#ifndef PM_CMD_PUMICECTL_DOCUMENT_H
#define PM_CMD_PUMICECTL_DOCUMENT_H

#include "gather.h"
#include "report.h"

#include <glib.h>
#include <stdbool.h>

/* "", false and 0 where there is no such field. */
const char *pm_text_of(const json_t *object, const char *key);
bool pm_flag_of(const json_t *object, const char *key);
double pm_number_of(const json_t *object, const char *key);

/* One line of what is wrong. */
void pm_add_problem(json_t *problems, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* The begin of a report: controllers that did not answer, and who leads. */
json_t *pm_begin_document(const struct pm_gathered *gathered, json_t *problems);
/* Its end, and the exit status that follows. */
struct pm_report pm_end_document(const struct pm_gathered *gathered, json_t *document,
                                 json_t *problems);

/* The duties held under a lease: of each, what the controller with the newest picture says. */
json_t *pm_single_duties(const struct pm_gathered *gathered, json_t *problems);

#endif

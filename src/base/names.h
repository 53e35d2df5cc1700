/* Names become dense indices at the API; inside, only indices travel. */
#ifndef PM_BASE_NAMES_H
#define PM_BASE_NAMES_H

struct pm_names;

struct pm_names *pm_names_new(void);
void pm_names_free(struct pm_names *names);
/* The index of a name, given out on first sight. */
int pm_names_intern(struct pm_names *names, const char *name);
/* The index, or -1 when the name was never seen. */
int pm_names_find(const struct pm_names *names, const char *name);
const char *pm_names_text(const struct pm_names *names, int index);
int pm_names_count(const struct pm_names *names);

#endif

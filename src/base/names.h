/* Interned names: names become dense indices where they enter; inside, only indices travel. A table
 * is guarded by the lock of the controller that it belongs to. */
#ifndef PM_BASE_NAMES_H
#define PM_BASE_NAMES_H

struct pm_names;

/* An empty table, to be freed with pm_names_free. */
struct pm_names *pm_names_new(void);
/* Frees the table and its texts. */
void pm_names_free(struct pm_names *names);
/* The index of a name; a new one gets the next index. The text is copied. */
int pm_names_intern(struct pm_names *names, const char *name);
/* The index of a name, -1: it was never interned. */
int pm_names_find(const struct pm_names *names, const char *name);
/* The name of an index, "?" for an index that was never given out. Owned by the table. */
const char *pm_names_text(const struct pm_names *names, int index);
/* How many names there are: indices are below this. */
int pm_names_count(const struct pm_names *names);

#endif

/* Interned names: each distinct name is assigned a dense index when it is read, and all other code
 * passes only the index. The lock of the controller that owns a table guards it. */
#ifndef PM_BASE_NAMES_H
#define PM_BASE_NAMES_H

struct pm_names;

/* Returns an empty table, to be freed with pm_names_free. */
struct pm_names *pm_names_new(void);
/* Frees the table and its texts. */
void pm_names_free(struct pm_names *names);
/* Returns the index of the name. A name that is not in the table is copied and gets the next
 * index. */
int pm_names_intern(struct pm_names *names, const char *name);
/* Returns the index of the name, or -1 if it is not in the table. */
int pm_names_find(const struct pm_names *names, const char *name);
/* Returns the name with that index, or "?" if there is none. The table owns the text. */
const char *pm_names_text(const struct pm_names *names, int index);
/* Returns the number of names. All indices are below it. */
int pm_names_count(const struct pm_names *names);

#endif

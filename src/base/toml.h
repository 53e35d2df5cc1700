/* Reads TOML files with toml++. It is wrapped in a C interface because Debian has no C library for
 * TOML. Used by one thread only, at start. */
#ifndef PM_BASE_TOML_H
#define PM_BASE_TOML_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct pm_toml;

/* Parses the file and returns the document, to be freed with pm_toml_free. Returns NULL if the file
 * can't be read or is not valid TOML, with the line and the reason in `err`. */
struct pm_toml *pm_toml_load(const char *path, char *err, size_t err_size);
/* Frees a document; NULL is allowed. */
void pm_toml_free(struct pm_toml *doc);
/* Copies the text at `path` (such as "settings.teams[0].name"). Returns false, and leaves `out`
 * unchanged, if there is no text at `path` or it does not fit in `size` bytes with its NUL. */
bool pm_toml_text(const struct pm_toml *doc, const char *path, char *out, size_t size);
/* Reads the integer or floating-point number at `path`. Returns false, and leaves `out` unchanged,
 * if there is none. */
bool pm_toml_number(const struct pm_toml *doc, const char *path, double *out);
/* Returns whether there is a value of any type at `path`. */
bool pm_toml_has(const struct pm_toml *doc, const char *path);
/* Returns the length of the list at `path`, or -1 if there is no list. */
int pm_toml_count(const struct pm_toml *doc, const char *path);

#ifdef __cplusplus
}
#endif
#endif

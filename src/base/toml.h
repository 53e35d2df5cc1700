/* Reading of TOML files through toml++ (C++, behind a C interface: Debian has no C library for
 * TOML). Called once, at start, by one thread. */
#ifndef PM_BASE_TOML_H
#define PM_BASE_TOML_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct pm_toml;

/* Parses the file. The document is the caller's, to be freed with pm_toml_free. NULL when it can't
 * be read or is no TOML, with the reason and the line in `err`. */
struct pm_toml *pm_toml_load(const char *path, char *err, size_t err_size);
/* Frees a document; NULL is allowed. */
void pm_toml_free(struct pm_toml *doc);
/* Copies the text at `path` (such as "settings.teams[0].name"). False when there is none, or it
 * does not fit in `size` bytes with its NUL; `out` is then unchanged. */
bool pm_toml_text(const struct pm_toml *doc, const char *path, char *out, size_t size);
/* The number at `path`, whole or not. False when there is none; `out` is then unchanged. */
bool pm_toml_number(const struct pm_toml *doc, const char *path, double *out);
/* Whether there is a value of any type at `path`. */
bool pm_toml_has(const struct pm_toml *doc, const char *path);
/* Length of the list at `path`, -1 when there is none. */
int pm_toml_count(const struct pm_toml *doc, const char *path);

#ifdef __cplusplus
}
#endif
#endif

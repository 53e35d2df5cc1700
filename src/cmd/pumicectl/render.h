/* Renders a JSON document as text, with a Mustache template. No state, no I/O. */
#ifndef PM_CMD_PUMICECTL_RENDER_H
#define PM_CMD_PUMICECTL_RENDER_H

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Returns the rendered text, to be freed with free(), or NULL if the template is invalid. Numbers
 * that are not integers are printed with one decimal. In a list of maps, texts and numbers are
 * padded to the longest value of the same key, so that they form columns; each such KEY also sets
 * has_KEY, which is false if the value is an empty text. */
char *pm_render(const char *template_text, const json_t *document);

#ifdef __cplusplus
}
#endif

#endif

/* Renders a JSON document as text, by a Mustache template. No state, no I/O. */
#ifndef PM_CMD_PUMICECTL_RENDER_H
#define PM_CMD_PUMICECTL_RENDER_H

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/* The text, to be freed with free(); NULL: the template is not valid. Numbers are written with one
 * decimal unless they are integers; in lists of maps, texts are padded to the width of their
 * column. */
char *pm_render(const char *template_text, const json_t *document);

#ifdef __cplusplus
}
#endif

#endif

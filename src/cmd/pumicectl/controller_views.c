#include "controller_views.h"
#include "json_fields.h"

#include <string.h>

/* Returns the controller's view in the body of one answer, or NULL if the body has none. */
static const json_t *find_view(const json_t *body, const char *controller)
{
    const json_t *views = json_object_get(json_object_get(body, "links"), "views");

    for (size_t i = 0; i < json_array_size(views); i++) {
        const json_t *view = json_array_get(views, i);
        if (!strcmp(pm_json_text(view, "controller"), controller) && pm_json_flag(view, "known"))
            return view;
    }
    return NULL;
}

const json_t *pm_find_controller_view(const struct pm_gathered *gathered, int controller,
                                      const char **source)
{
    const char *name = gathered->controllers[controller].name;
    const json_t *view = find_view(gathered->controllers[controller].body, name);

    *source = name;
    for (int i = 0; !view && i < gathered->controller_count; i++) {
        view = find_view(gathered->controllers[i].body, name);
        if (view)
            *source = gathered->controllers[i].name;
    }
    return view;
}

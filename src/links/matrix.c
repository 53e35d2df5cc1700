#include "links/matrix.h"

#include <string.h>

void pm_link_matrix_init(struct pm_link_matrix *matrix, const struct pm_settings *settings,
                         double expire_s)
{
    memset(matrix, 0, sizeof *matrix);
    matrix->settings = settings;
    matrix->expire_s = expire_s;
    matrix->controller_count = settings->peer_count + 1;
}

const char *pm_link_matrix_controller_name(const struct pm_link_matrix *matrix, int controller)
{
    return controller ? matrix->settings->peers[controller - 1].name : matrix->settings->name;
}

int pm_link_matrix_find_controller(const struct pm_link_matrix *matrix, const char *name)
{
    int peer;

    if (!strcmp(matrix->settings->name, name))
        return 0;
    peer = pm_settings_find_peer(matrix->settings, name);
    return peer < 0 ? -1 : peer + 1;
}

bool pm_link_matrix_is_view_fresh(const struct pm_link_matrix *matrix, int controller, double now)
{
    double view_time = matrix->view[controller].evaluated_at;

    return view_time > 0 && now - view_time <= matrix->expire_s;
}

void pm_link_matrix_update(struct pm_link_matrix *matrix, int controller,
                           const struct pm_link_view *view)
{
    if (view->evaluated_at > matrix->view[controller].evaluated_at)
        matrix->view[controller] = *view;
}

/* What a controller does because of the state of links; nothing unless the settings allow it. */
#include "links/internal.h"

bool pm_links_is_cut_off(const struct pm_links *links)
{
    uint8_t state = links->matrix.view[0].state_service;

    return links->setting->decide && (state == PM_LINK_DOWN || state == PM_LINK_ONE_WAY);
}

bool pm_links_should_yield_lead(struct pm_links *links, double led_for, double now)
{
    return links->setting->decide && !pm_links_is_lagging(links, now) &&
           pm_fitness_should_yield_lead(&links->yield_timers, &links->matrix, &links->delays,
                                        led_for, now);
}

double pm_links_candidate_wait_s(const struct pm_links *links, double now)
{
    if (!links->setting->decide)
        return 0;
    return pm_fitness_candidate_wait_s(&links->matrix, &links->delays, now);
}

bool pm_links_has_equal_candidate(const struct pm_links *links, double now)
{
    int other = pm_fitness_best_other(&links->matrix, 0, now);

    return other >= 0 && pm_fitness_lead_rank(&links->matrix, other, 0) >=
                             pm_fitness_lead_rank(&links->matrix, 0, 0);
}

/* Decisions that follow from the state of the links, if the settings enable them (`decide`). */
#include "links/internal.h"

bool pm_links_is_cut_off(const struct pm_links *links)
{
    uint8_t state = links->matrix.view[0].state_service;

    return links->setting->decide && (state == PM_LINK_DOWN || state == PM_LINK_ONE_WAY);
}

bool pm_links_should_step_down(struct pm_links *links, double led_for_s, double now)
{
    return links->setting->decide && !pm_links_was_paused_recently(links, now) &&
           pm_fitness_should_step_down(&links->step_down_timers, &links->matrix, &links->delays,
                                       led_for_s, now);
}

double pm_links_extra_campaign_delay_s(const struct pm_links *links, double now)
{
    if (!links->setting->decide)
        return 0;
    return pm_fitness_extra_campaign_delay_s(&links->matrix, &links->delays, now);
}

bool pm_links_has_equal_candidate(const struct pm_links *links, double now)
{
    int other = pm_fitness_best_other_controller(&links->matrix, 0, now);

    return other >= 0 && pm_fitness_lead_rank(&links->matrix, other, 0) >=
                             pm_fitness_lead_rank(&links->matrix, 0, 0);
}

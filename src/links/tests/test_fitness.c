/* The reachability matrix, its messages, and what follows from it for the duties. */
#include "links/fitness.h"
#include "links/links.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

enum { CONTROLLERS = 4, ZONES = 2 };

static const struct pm_fitness_times times = {.urgent_s = 2, .slight_s = 15, .least_s = 10};

/* Settings of controller `self`, with the others as its peers. */
static struct pm_settings settings_of(int self)
{
    struct pm_settings settings = {.cluster_size = CONTROLLERS, .zone_count = ZONES};

    snprintf(settings.name, sizeof settings.name, "node-%d", self);
    for (int i = 0; i < CONTROLLERS; i++)
        if (i != self)
            snprintf(settings.peers[settings.peer_count++].name, PM_NAME_MAX, "node-%d", i);
    for (int i = 0; i < ZONES; i++)
        snprintf(settings.zone_names[i], PM_NAME_MAX, "zone-%d", i);
    return settings;
}

static struct pm_view view_of(uint8_t state, uint8_t zone0, uint8_t zone1, uint8_t cloud)
{
    struct pm_view view = {.at = 100, .state = state, .cloud = cloud};

    view.zone[0] = zone0;
    view.zone[1] = zone1;
    for (int i = 0; i < CONTROLLERS; i++)
        view.peer[i] = PM_LINK_UP;
    return view;
}

/* All views are well, and as old as time 100. */
static void fill(struct pm_matrix *matrix, const struct pm_settings *settings)
{
    pm_matrix_init(matrix, settings, 5);
    for (int i = 0; i < CONTROLLERS; i++)
        matrix->view[i] = view_of(PM_LINK_UP, PM_LINK_UP, PM_LINK_UP, PM_LINK_UP);
}

static void ranks_recording_before_workers_before_the_cloud(void **arg)
{
    const struct pm_view best_first[] = {
        view_of(PM_LINK_UP, PM_LINK_UP, PM_LINK_DEGRADED, PM_LINK_UP),
        view_of(PM_LINK_UP, PM_LINK_UP, PM_LINK_UP, PM_LINK_DOWN),
        view_of(PM_LINK_UP, PM_LINK_UP, PM_LINK_ONE_WAY, PM_LINK_UP),
        view_of(PM_LINK_UP, PM_LINK_DOWN, PM_LINK_DOWN, PM_LINK_UP),
        view_of(PM_LINK_DOWN, PM_LINK_UP, PM_LINK_UP, PM_LINK_UP),
    };
    struct pm_settings settings = settings_of(0);
    struct pm_matrix matrix;
    int before = 1000;

    (void)arg;
    fill(&matrix, &settings);
    for (size_t i = 0; i < sizeof best_first / sizeof *best_first; i++) {
        int rank;
        matrix.view[1] = best_first[i];
        rank = pm_fitness_lead_rank(&matrix, 1, 0);
        assert_true(rank < before);
        before = rank;
    }
    assert_int_equal(before, 0); /* nothing it decides could be recorded */
    matrix.view[1] = view_of(PM_LINK_FLAPPING, PM_LINK_UP, PM_LINK_UP, PM_LINK_UP);
    assert_true(pm_fitness_lead_rank(&matrix, 1, 0) > 0);
    assert_int_equal(pm_fitness_judge(&matrix, 1, PM_CAPABILITY_LEAD).fitness, PM_IMPAIRED);
}

/* Who never asked the workers is not better than who knows that some do not answer. */
static void not_knowing_is_neither_better_nor_worse(void **arg)
{
    struct pm_settings settings = settings_of(0);
    struct pm_matrix matrix;

    (void)arg;
    fill(&matrix, &settings);
    matrix.view[0].zone[0] = PM_LINK_DOWN;
    for (int i = 1; i < CONTROLLERS; i++)
        matrix.view[i].zone[0] = PM_LINK_UNKNOWN;
    assert_int_equal(pm_fitness_lead_rank(&matrix, 1, 0), pm_fitness_lead_rank(&matrix, 0, 0));
    matrix.view[2].zone[0] = PM_LINK_UP;
    assert_int_equal(pm_fitness_best_other(&matrix, 0, 100), 2);
}

static void gives_way_to_who_is_better_for_a_while(void **arg)
{
    struct pm_fitness_patience patience = {0};
    struct pm_settings settings = settings_of(0);
    struct pm_matrix matrix;

    (void)arg;
    fill(&matrix, &settings);
    assert_false(pm_fitness_gives_way(&patience, &matrix, &times, 60, 100));
    matrix.view[0].state = PM_LINK_DOWN;
    assert_false(pm_fitness_gives_way(&patience, &matrix, &times, 60, 101));
    matrix.view[0].state = PM_LINK_UP; /* well again: the patience begins anew */
    assert_false(pm_fitness_gives_way(&patience, &matrix, &times, 60, 102));
    matrix.view[0].state = PM_LINK_DOWN;
    assert_false(pm_fitness_gives_way(&patience, &matrix, &times, 60, 103));
    assert_true(pm_fitness_gives_way(&patience, &matrix, &times, 1, 105));
    /* Views that are too old are no reason. */
    assert_false(pm_fitness_gives_way(&patience, &matrix, &times, 60, 106));
    assert_false(pm_fitness_gives_way(&patience, &matrix, &times, 60, 109));
}

static void a_little_better_is_no_hurry(void **arg)
{
    struct pm_fitness_patience patience = {0};
    struct pm_settings settings = settings_of(0);
    struct pm_matrix matrix;

    (void)arg;
    fill(&matrix, &settings);
    matrix.expire_s = 100;
    matrix.view[0].cloud = PM_LINK_DOWN;
    for (int s = 0; s < 15; s++)
        assert_false(pm_fitness_gives_way(&patience, &matrix, &times, 60, 100 + s));
    assert_false(pm_fitness_gives_way(&patience, &matrix, &times, 5, 116)); /* leads too newly */
    assert_true(pm_fitness_gives_way(&patience, &matrix, &times, 60, 116));
}

/* Workers come to a new leader one after the other: it keeps the lead meanwhile. */
static void a_new_leader_is_given_time(void **arg)
{
    struct pm_fitness_patience patience = {0};
    struct pm_settings settings = settings_of(0);
    struct pm_matrix matrix;

    (void)arg;
    fill(&matrix, &settings);
    matrix.view[0].zone[0] = matrix.view[0].zone[1] = PM_LINK_ONE_WAY;
    assert_false(pm_fitness_gives_way(&patience, &matrix, &times, 5, 100));
    assert_false(pm_fitness_gives_way(&patience, &matrix, &times, 9, 104));
    assert_true(pm_fitness_gives_way(&patience, &matrix, &times, 10, 105));
}

/* An outage, a zone that is away for all: nobody gives way, nobody waits. */
static void nobody_gives_way_where_nobody_is_better(void **arg)
{
    struct pm_fitness_patience patience = {0};
    struct pm_settings settings = settings_of(0);
    struct pm_matrix matrix;

    (void)arg;
    fill(&matrix, &settings);
    for (int i = 0; i < CONTROLLERS; i++) {
        matrix.view[i].state = PM_LINK_REFUSED;
        matrix.view[i].zone[1] = PM_LINK_DOWN;
    }
    for (int s = 0; s < 5; s++)
        assert_false(pm_fitness_gives_way(&patience, &matrix, &times, 60, 100 + s));
    assert_true(pm_fitness_candidate_wait_s(&matrix, &times, 100) <= 0);
    assert_int_equal(pm_fitness_judge(&matrix, 0, PM_CAPABILITY_ACCEPT_JOBS).fitness, PM_UNFIT);
    assert_int_equal(pm_fitness_judge(&matrix, 0, PM_CAPABILITY_RENEW_LEASES).fitness, PM_FIT);
    matrix.view[0].peer[1] = matrix.view[0].peer[2] = PM_LINK_DOWN;
    assert_int_equal(pm_fitness_judge(&matrix, 0, PM_CAPABILITY_RENEW_LEASES).fitness, PM_UNFIT);
}

static void views_travel_with_their_age(void **arg)
{
    struct pm_settings sender = settings_of(1);
    struct pm_settings receiver = settings_of(0);
    struct pm_matrix theirs;
    struct pm_matrix ours;
    unsigned char *data;
    size_t size;
    int from;

    (void)arg;
    fill(&theirs, &sender);
    theirs.view[0].zone[1] = PM_LINK_ONE_WAY;
    theirs.view[0].leads = true;
    g_strlcpy(theirs.view[0].endpoint[1][0], "10.0.0.1:9000", 64);
    theirs.view[pm_matrix_controller(&theirs, "node-3")].at = 90; /* expired: not relayed */
    data = pm_views_encode(&theirs, 102, &size);
    pm_matrix_init(&ours, &receiver, 5);
    assert_true(pm_views_decode(&ours, data, size, 500, 500.2));
    from = pm_matrix_controller(&ours, "node-1");
    assert_true(ours.view[from].at > 497.9 && ours.view[from].at < 498.1);
    assert_true(ours.view[from].leads);
    assert_int_equal(ours.view[from].zone[1], PM_LINK_ONE_WAY);
    assert_string_equal(ours.view[from].endpoint[1][0], "10.0.0.1:9000");
    assert_false(pm_matrix_is_fresh(&ours, pm_matrix_controller(&ours, "node-3"), 500));
    assert_true(pm_matrix_is_fresh(&ours, pm_matrix_controller(&ours, "node-2"), 500));
    assert_true(ours.view[0].at <= 0); /* what others say of us is not taken */
    /* The answer to a call of long ago, held back: read, and taken for nothing. */
    memset(ours.view, 0, sizeof ours.view);
    assert_true(pm_views_decode(&ours, data, size, 500, 520));
    assert_true(ours.view[from].at <= 0);
    /* An older one does not take the place of a newer one. */
    assert_true(pm_views_decode(&ours, data, size, 500, 500));
    assert_true(pm_views_decode(&ours, data, size, 498, 500));
    assert_true(ours.view[from].at > 497.9);
    assert_false(pm_views_decode(&ours, data, size - 3, 500, 500)); /* torn */
    assert_false(pm_views_decode(&ours, (const unsigned char *)"\xff\xff\xff", 3, 500, 500));
    g_free(data);
}

static void a_stored_view_counts_once(void **arg)
{
    struct pm_settings sender = settings_of(1);
    struct pm_settings receiver = settings_of(0);
    struct pm_links_setting setting = {.observe = true, .expire_s = 5, .down_s = 1};
    struct pm_links *links = pm_links_new(&receiver, &setting, NULL);
    const struct pm_matrix *matrix = pm_links_matrix(links);
    struct pm_matrix theirs;
    struct pm_buf buf = {0};
    cbor_item_t *value;
    int from = pm_matrix_controller(matrix, "node-1");

    (void)arg;
    fill(&theirs, &sender);
    theirs.view[0].cloud = PM_LINK_DOWN;
    pm_view_encode(&theirs, &buf);
    value = pm_cbor_parse(buf.data, buf.size);
    pm_links_apply_put(links, "p/links/node-1", value, 7, 200);
    assert_true(pm_matrix_is_fresh(matrix, from, 204));
    assert_int_equal(matrix->view[from].cloud, PM_LINK_DOWN);
    pm_links_apply_put(links, "p/links/node-1", value, 7,
                       300); /* the same, read anew after a listing */
    assert_false(pm_matrix_is_fresh(matrix, from, 300));
    pm_links_apply_put(links, "p/links/nobody", value, 8, 300);
    pm_cbor_free(value);
    value = pm_cbor_parse("\xa0", 1); /* an empty map: kept out, and said */
    pm_links_apply_put(links, "p/links/node-1", value, 9, 300);
    assert_false(pm_matrix_is_fresh(matrix, from, 300));
    pm_cbor_free(value);
    pm_buf_free(&buf);
    pm_links_free(links);
}

/* Of a zone with a single machine that one is probed, again and again, with other zones between. */
static void probes_the_machines_that_a_view_names(void **arg)
{
    struct pm_settings sender = settings_of(1);
    struct pm_settings receiver = settings_of(0);
    struct pm_links_setting setting = {
        .observe = true, .expire_s = 100, .down_s = 1, .probe_s = 1, .half_life_s = 30};
    struct pm_links *links = pm_links_new(&receiver, &setting, NULL);
    struct pm_matrix theirs;
    unsigned char *data;
    size_t size;

    (void)arg;
    fill(&theirs, &sender);
    g_strlcpy(theirs.view[0].endpoint[0][0], "10.0.0.1:9000", 64);
    data = pm_views_encode(&theirs, 100, &size);
    pm_links_decode_views(links, 0, data, size, 100, 100);
    for (int s = 0; s < 6; s++) {
        const char *addr = pm_links_probe_zone_due(links, 0, 102 + 2 * s);
        assert_non_null(addr);
        assert_string_equal(addr, "10.0.0.1:9000");
        assert_null(pm_links_probe_zone_due(links, 0, 102.5 + 2 * s)); /* not so soon again */
        assert_null(pm_links_probe_zone_due(links, 1, 102 + 2 * s));   /* none is known there */
    }
    g_free(data);
    pm_links_free(links);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(ranks_recording_before_workers_before_the_cloud),
        cmocka_unit_test(not_knowing_is_neither_better_nor_worse),
        cmocka_unit_test(gives_way_to_who_is_better_for_a_while),
        cmocka_unit_test(a_little_better_is_no_hurry),
        cmocka_unit_test(a_new_leader_is_given_time),
        cmocka_unit_test(nobody_gives_way_where_nobody_is_better),
        cmocka_unit_test(views_travel_with_their_age),
        cmocka_unit_test(a_stored_view_counts_once),
        cmocka_unit_test(probes_the_machines_that_a_view_names),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

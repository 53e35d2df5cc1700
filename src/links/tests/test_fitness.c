/* Tests the reachability matrix, its messages, and the fitness derived from it. */
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

static const struct pm_fitness_delays delays = {
    .much_better_delay_s = 2, .better_delay_s = 15, .min_term_s = 10};

/* Returns the settings of controller `self`, with the others as its peers. */
static struct pm_settings settings_of_controller(int self)
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

static struct pm_link_view make_view(uint8_t state, uint8_t zone0, uint8_t zone1, uint8_t cloud)
{
    struct pm_link_view view = {.evaluated_at = 100, .state_service = state, .cloud = cloud};

    view.zone[0] = zone0;
    view.zone[1] = zone1;
    for (int i = 0; i < CONTROLLERS; i++)
        view.peer[i] = PM_LINK_UP;
    return view;
}

/* Initializes a matrix in which all links are up in all views, evaluated at time 100. */
static void init_healthy(struct pm_link_matrix *matrix, const struct pm_settings *settings)
{
    pm_link_matrix_init(matrix, settings, 5);
    for (int i = 0; i < CONTROLLERS; i++)
        matrix->view[i] = make_view(PM_LINK_UP, PM_LINK_UP, PM_LINK_UP, PM_LINK_UP);
}

static void lead_rank_weighs_state_service_over_workers_over_cloud(void **arg)
{
    const struct pm_link_view best_first[] = {
        make_view(PM_LINK_UP, PM_LINK_UP, PM_LINK_DEGRADED, PM_LINK_UP),
        make_view(PM_LINK_UP, PM_LINK_UP, PM_LINK_UP, PM_LINK_DOWN),
        make_view(PM_LINK_UP, PM_LINK_UP, PM_LINK_ONE_WAY, PM_LINK_UP),
        make_view(PM_LINK_UP, PM_LINK_DOWN, PM_LINK_DOWN, PM_LINK_UP),
        make_view(PM_LINK_DOWN, PM_LINK_UP, PM_LINK_UP, PM_LINK_UP),
    };
    struct pm_settings settings = settings_of_controller(0);
    struct pm_link_matrix matrix;
    int previous_rank = 1000;

    (void)arg;
    init_healthy(&matrix, &settings);
    for (size_t i = 0; i < sizeof best_first / sizeof *best_first; i++) {
        int rank;
        matrix.view[1] = best_first[i];
        rank = pm_fitness_lead_rank(&matrix, 1, 0);
        assert_true(rank < previous_rank);
        previous_rank = rank;
    }
    assert_int_equal(previous_rank, 0); /* the last view's controller can't write its decisions */
    matrix.view[1] = make_view(PM_LINK_FLAPPING, PM_LINK_UP, PM_LINK_UP, PM_LINK_UP);
    assert_true(pm_fitness_lead_rank(&matrix, 1, 0) > 0);
    assert_int_equal(pm_fitness_evaluate(&matrix, 1, PM_CAPABILITY_LEAD).fitness, PM_IMPAIRED);
}

/* Controllers 1 to 3 have no traffic to a zone that controller 0, the reference, knows to be down.
 * The reference's state counts for them too, so they rank the same as the reference. */
static void unknown_link_state_is_taken_from_reference_view(void **arg)
{
    struct pm_settings settings = settings_of_controller(0);
    struct pm_link_matrix matrix;

    (void)arg;
    init_healthy(&matrix, &settings);
    matrix.view[0].zone[0] = PM_LINK_DOWN;
    for (int i = 1; i < CONTROLLERS; i++)
        matrix.view[i].zone[0] = PM_LINK_UNKNOWN;
    assert_int_equal(pm_fitness_lead_rank(&matrix, 1, 0), pm_fitness_lead_rank(&matrix, 0, 0));
    matrix.view[2].zone[0] = PM_LINK_UP;
    assert_int_equal(pm_fitness_best_other_controller(&matrix, 0, 100), 2);
}

static void leader_steps_down_for_a_controller_that_stays_better(void **arg)
{
    struct pm_fitness_step_down_timers timers = {0};
    struct pm_settings settings = settings_of_controller(0);
    struct pm_link_matrix matrix;

    (void)arg;
    init_healthy(&matrix, &settings);
    assert_false(pm_fitness_should_step_down(&timers, &matrix, &delays, 60, 100));
    matrix.view[0].state_service = PM_LINK_DOWN;
    assert_false(pm_fitness_should_step_down(&timers, &matrix, &delays, 60, 101));
    matrix.view[0].state_service = PM_LINK_UP; /* up again: the timer is reset */
    assert_false(pm_fitness_should_step_down(&timers, &matrix, &delays, 60, 102));
    matrix.view[0].state_service = PM_LINK_DOWN;
    assert_false(pm_fitness_should_step_down(&timers, &matrix, &delays, 60, 103));
    assert_true(pm_fitness_should_step_down(&timers, &matrix, &delays, 1, 105));
    /* Expired views are no reason to step down. */
    assert_false(pm_fitness_should_step_down(&timers, &matrix, &delays, 60, 106));
    assert_false(pm_fitness_should_step_down(&timers, &matrix, &delays, 60, 109));
}

static void leader_steps_down_later_for_a_slightly_better_controller(void **arg)
{
    struct pm_fitness_step_down_timers timers = {0};
    struct pm_settings settings = settings_of_controller(0);
    struct pm_link_matrix matrix;

    (void)arg;
    init_healthy(&matrix, &settings);
    matrix.expire_s = 100;
    matrix.view[0].cloud = PM_LINK_DOWN;
    for (int i = 0; i < 15; i++)
        assert_false(pm_fitness_should_step_down(&timers, &matrix, &delays, 60, 100 + i));
    /* A leader does not step down before it has led for `min_term_s`. */
    assert_false(pm_fitness_should_step_down(&timers, &matrix, &delays, 5, 116));
    assert_true(pm_fitness_should_step_down(&timers, &matrix, &delays, 60, 116));
}

/* Workers connect to a new leader one after the other, so that it must not step down at once for
 * reaching few of them. */
static void new_leader_keeps_the_lead_for_its_minimum_term(void **arg)
{
    struct pm_fitness_step_down_timers timers = {0};
    struct pm_settings settings = settings_of_controller(0);
    struct pm_link_matrix matrix;

    (void)arg;
    init_healthy(&matrix, &settings);
    matrix.view[0].zone[0] = matrix.view[0].zone[1] = PM_LINK_ONE_WAY;
    assert_false(pm_fitness_should_step_down(&timers, &matrix, &delays, 5, 100));
    assert_false(pm_fitness_should_step_down(&timers, &matrix, &delays, 9, 104));
    assert_true(pm_fitness_should_step_down(&timers, &matrix, &delays, 10, 105));
}

/* The state service refuses every controller, and no controller reaches one of the zones. The
 * leader does not step down, and no controller delays its campaign. */
static void no_leader_steps_down_where_no_other_is_better(void **arg)
{
    struct pm_fitness_step_down_timers timers = {0};
    struct pm_settings settings = settings_of_controller(0);
    struct pm_link_matrix matrix;

    (void)arg;
    init_healthy(&matrix, &settings);
    for (int i = 0; i < CONTROLLERS; i++) {
        matrix.view[i].state_service = PM_LINK_REFUSED;
        matrix.view[i].zone[1] = PM_LINK_DOWN;
    }
    for (int i = 0; i < 5; i++)
        assert_false(pm_fitness_should_step_down(&timers, &matrix, &delays, 60, 100 + i));
    assert_true(pm_fitness_extra_campaign_delay_s(&matrix, &delays, 100) <= 0);
    assert_int_equal(pm_fitness_evaluate(&matrix, 0, PM_CAPABILITY_ACCEPT_JOBS).fitness, PM_UNFIT);
    assert_int_equal(pm_fitness_evaluate(&matrix, 0, PM_CAPABILITY_RENEW_LEASES).fitness, PM_FIT);
    matrix.view[0].peer[1] = matrix.view[0].peer[2] = PM_LINK_DOWN;
    assert_int_equal(pm_fitness_evaluate(&matrix, 0, PM_CAPABILITY_RENEW_LEASES).fitness, PM_UNFIT);
}

static void views_are_exchanged_with_their_age(void **arg)
{
    struct pm_settings sender = settings_of_controller(1);
    struct pm_settings receiver = settings_of_controller(0);
    struct pm_link_matrix sender_matrix;
    struct pm_link_matrix receiver_matrix;
    unsigned char *data;
    size_t size;
    int from;

    (void)arg;
    init_healthy(&sender_matrix, &sender);
    sender_matrix.view[0].zone[1] = PM_LINK_ONE_WAY;
    sender_matrix.view[0].leads = true;
    g_strlcpy(sender_matrix.view[0].endpoint[1][0], "10.0.0.1:9000", 64);
    /* The view of node-3 has expired and is not relayed. */
    sender_matrix.view[pm_link_matrix_find_controller(&sender_matrix, "node-3")].evaluated_at = 90;
    data = pm_link_views_encode_message(&sender_matrix, 102, &size);
    pm_link_matrix_init(&receiver_matrix, &receiver, 5);
    assert_true(pm_link_views_decode_message(&receiver_matrix, data, size, 500, 500.2));
    from = pm_link_matrix_find_controller(&receiver_matrix, "node-1");
    assert_true(receiver_matrix.view[from].evaluated_at > 497.9 &&
                receiver_matrix.view[from].evaluated_at < 498.1);
    assert_true(receiver_matrix.view[from].leads);
    assert_int_equal(receiver_matrix.view[from].zone[1], PM_LINK_ONE_WAY);
    assert_string_equal(receiver_matrix.view[from].endpoint[1][0], "10.0.0.1:9000");
    assert_false(pm_link_matrix_is_view_fresh(
        &receiver_matrix, pm_link_matrix_find_controller(&receiver_matrix, "node-3"), 500));
    assert_true(pm_link_matrix_is_view_fresh(
        &receiver_matrix, pm_link_matrix_find_controller(&receiver_matrix, "node-2"), 500));
    /* The receiver ignores its own view when a peer relays it. */
    assert_true(receiver_matrix.view[0].evaluated_at <= 0);
    /* A delayed response, to a call that was sent long ago, is decoded and ignored. */
    memset(receiver_matrix.view, 0, sizeof receiver_matrix.view);
    assert_true(pm_link_views_decode_message(&receiver_matrix, data, size, 500, 520));
    assert_true(receiver_matrix.view[from].evaluated_at <= 0);
    /* An older view does not replace a newer one. */
    assert_true(pm_link_views_decode_message(&receiver_matrix, data, size, 500, 500));
    assert_true(pm_link_views_decode_message(&receiver_matrix, data, size, 498, 500));
    assert_true(receiver_matrix.view[from].evaluated_at > 497.9);
    assert_false(
        pm_link_views_decode_message(&receiver_matrix, data, size - 3, 500, 500)); /* truncated */
    assert_false(pm_link_views_decode_message(&receiver_matrix,
                                              (const unsigned char *)"\xff\xff\xff", 3, 500, 500));
    g_free(data);
}

static void stored_view_is_applied_once(void **arg)
{
    struct pm_settings sender = settings_of_controller(1);
    struct pm_settings receiver = settings_of_controller(0);
    struct pm_links_setting setting = {.observe = true, .expire_s = 5, .down_s = 1};
    struct pm_links *links = pm_links_new(&receiver, &setting, NULL);
    const struct pm_link_matrix *matrix = pm_links_matrix(links);
    struct pm_link_matrix sender_matrix;
    struct pm_buffer buf = {0};
    cbor_item_t *value;
    int from = pm_link_matrix_find_controller(matrix, "node-1");

    (void)arg;
    init_healthy(&sender_matrix, &sender);
    sender_matrix.view[0].cloud = PM_LINK_DOWN;
    pm_link_view_encode_value(&sender_matrix, &buf);
    value = pm_cbor_parse(buf.data, buf.size);
    pm_links_apply_put(links, "p/links/node-1", value, 7, 200);
    assert_true(pm_link_matrix_is_view_fresh(matrix, from, 204));
    assert_int_equal(matrix->view[from].cloud, PM_LINK_DOWN);
    pm_links_apply_put(links, "p/links/node-1", value, 7, 300); /* again, by a new listing */
    assert_false(pm_link_matrix_is_view_fresh(matrix, from, 300));
    pm_links_apply_put(links, "p/links/nobody", value, 8, 300);
    pm_cbor_free(value);
    value = pm_cbor_parse("\xa0", 1); /* an empty map is ignored and logged */
    pm_links_apply_put(links, "p/links/node-1", value, 9, 300);
    assert_false(pm_link_matrix_is_view_fresh(matrix, from, 300));
    pm_cbor_free(value);
    pm_buffer_free(&buf);
    pm_links_free(links);
}

/* If a zone has a single known endpoint, every probe goes there. */
static void zone_probes_use_endpoints_from_peer_views(void **arg)
{
    struct pm_settings sender = settings_of_controller(1);
    struct pm_settings receiver = settings_of_controller(0);
    struct pm_links_setting setting = {
        .observe = true, .expire_s = 100, .down_s = 1, .probe_s = 1, .half_life_s = 30};
    struct pm_links *links = pm_links_new(&receiver, &setting, NULL);
    struct pm_link_matrix sender_matrix;
    unsigned char *data;
    size_t size;

    (void)arg;
    init_healthy(&sender_matrix, &sender);
    g_strlcpy(sender_matrix.view[0].endpoint[0][0], "10.0.0.1:9000", 64);
    data = pm_link_views_encode_message(&sender_matrix, 100, &size);
    pm_links_decode_views(links, 0, data, size, 100, 100);
    for (int i = 0; i < 6; i++) {
        const char *addr = pm_links_next_zone_probe(links, 0, 102 + 2 * i);
        assert_non_null(addr);
        assert_string_equal(addr, "10.0.0.1:9000");
        assert_null(pm_links_next_zone_probe(links, 0, 102.5 + 2 * i)); /* too early */
        /* No endpoint of the other zone is known. */
        assert_null(pm_links_next_zone_probe(links, 1, 102 + 2 * i));
    }
    g_free(data);
    pm_links_free(links);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(lead_rank_weighs_state_service_over_workers_over_cloud),
        cmocka_unit_test(unknown_link_state_is_taken_from_reference_view),
        cmocka_unit_test(leader_steps_down_for_a_controller_that_stays_better),
        cmocka_unit_test(leader_steps_down_later_for_a_slightly_better_controller),
        cmocka_unit_test(new_leader_keeps_the_lead_for_its_minimum_term),
        cmocka_unit_test(no_leader_steps_down_where_no_other_is_better),
        cmocka_unit_test(views_are_exchanged_with_their_age),
        cmocka_unit_test(stored_view_is_applied_once),
        cmocka_unit_test(zone_probes_use_endpoints_from_peer_views),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

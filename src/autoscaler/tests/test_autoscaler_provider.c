/* Tests how the provider's answers are handled: machine types are decoded from a buffer, and the
 * inventory is read over HTTP from a fake provider. */
#include "autoscaler_fixtures.h"
#include "base/clock.h"
#include "testing/fake_store.h"

#include <ev.h>
#include <stdlib.h>

/* ---- machine types ---- */

static void machine_types_are_decoded(void **state)
{
    struct pm_buffer buf = {0};
    cbor_item_t *models;

    (void)state;
    pm_cbor_put_list(&buf);
    pm_cbor_put_map(&buf);
    pm_cbor_put_pair_text(&buf, "sku", "g9");
    pm_cbor_put_pair_number(&buf, "cpus", 96);
    pm_cbor_put_pair_uint(&buf, "accelerators", 8); /* integers are numbers too */
    pm_cbor_put_pair_number(&buf, "ram_gb", 768);
    pm_cbor_put_pair_number(&buf, "price", 12);
    pm_cbor_put_text(&buf, "rooms");
    pm_cbor_put_list(&buf);
    pm_cbor_put_text(&buf, "a");
    pm_cbor_put_text(&buf, "elsewhere");
    pm_cbor_put_end(&buf);
    pm_cbor_put_end(&buf);
    pm_cbor_put_end(&buf);
    models = pm_cbor_parse(buf.data, buf.size);
    assert_true(pm_machine_types_decode(&tables, models));
    assert_int_equal(tables.type_count, 3);
    assert_true(tables.types[2].gpus == 8);
    assert_int_equal(tables.types[2].zones, 1);
    /* Without a spot price in the entry, the price of an ordinary machine applies. */
    assert_true(tables.types[2].spot_price == 12);
    pm_cbor_free(models);
    pm_buffer_free(&buf);
    pm_cbor_put_list(&buf);
    pm_cbor_put_map(&buf);
    pm_cbor_put_end(&buf);
    pm_cbor_put_end(&buf);
    models = pm_cbor_parse(buf.data, buf.size);
    assert_false(pm_machine_types_decode(&tables, models));
    pm_cbor_free(models);
    pm_buffer_free(&buf);
}

/* ---- a fake provider ---- */

struct fake_provider {
    struct ev_loop *loop;
    struct pm_http_client *http;
    struct pm_http_server *server; /* NULL: the port could not be bound */
    struct pm_autoscaler *client;  /* the autoscaler that sends requests to the provider */
};

static void on_machine_types(void *arg, const cbor_item_t *models)
{
    (void)arg;
    (void)models;
}

static void on_changed(void *arg)
{
    (void)arg;
}

static struct fake_provider fake_provider_start(pm_http_handler *handler, void *arg)
{
    struct fake_provider provider = {.loop = ev_loop_new(EVFLAG_AUTO)};

    provider.http = pm_http_client_new(provider.loop, 8);
    snprintf(settings.cloud_addr, sizeof settings.cloud_addr, "127.0.0.1:%d",
             event_loop_free_port());
    settings.cloud_rps = 50;
    settings.inventory_lag_s = 4;
    provider.server = pm_http_server_new(provider.loop, settings.cloud_addr, 8, handler, arg);
    provider.client = pm_autoscaler_new(
        provider.http, &tables, jobs, workers, scheduler, &operator_settings,
        &(struct pm_autoscaler_hooks){.machine_types = on_machine_types, .changed = on_changed});
    return provider;
}

static void fake_provider_stop(struct fake_provider *provider)
{
    pm_http_client_free(provider->http);
    pm_http_server_free(provider->server);
    pm_autoscaler_free(provider->client);
    ev_loop_destroy(provider->loop);
}

/* ---- the inventory ---- */

enum { MACHINE_COUNT = 6000, PAGE_MACHINES = 500 };

static void put_running_machine(struct pm_buffer *body, int number)
{
    char name[32];

    snprintf(name, sizeof name, "i-%06d", number);
    pm_cbor_put_map(body);
    pm_cbor_put_pair_text(body, "name_id", name);
    pm_cbor_put_pair_text(body, "model", "g8");
    pm_cbor_put_pair_text(body, "room", "a");
    pm_cbor_put_pair_text(body, "status", "running");
    pm_cbor_put_end(body);
}

/* Answers as a provider that has many machines and refuses every third request. */
static void on_large_provider_request(void *arg, struct pm_http_request *req)
{
    int *request_count = arg;
    struct pm_buffer body = {0};
    const char *since = strstr(req->query, "since=i-");
    int first = since ? (int)strtol(since + strlen("since=i-"), NULL, 10) + 1 : 1;

    if (strcmp(req->path, "/machines") || ++*request_count % 3 == 0) {
        pm_http_reply(req, 429, NULL, 0, 0);
        return;
    }
    pm_cbor_put_map(&body);
    pm_cbor_put_text(&body, "hosts");
    pm_cbor_put_list(&body);
    for (int i = first; i < first + PAGE_MACHINES && i <= MACHINE_COUNT; i++)
        put_running_machine(&body, i);
    pm_cbor_put_end(&body);
    pm_cbor_put_pair_flag(&body, "has_next", first + PAGE_MACHINES <= MACHINE_COUNT);
    pm_cbor_put_end(&body);
    pm_http_reply(req, 200, body.data, body.size, 0);
    pm_buffer_free(&body);
}

static bool is_last_machine_listed(void *arg)
{
    pm_autoscaler_run(arg, pm_clock_monotonic(), 1e6);
    return pm_workers_find(workers, "i-006000") != NULL;
}

/* The provider refuses some pages of a long inventory. Each refused page is requested again, and
 * the inventory does not start from its first page again. */
static void large_inventory_is_read_page_by_page(void **state)
{
    int request_count = 0;
    struct fake_provider provider = fake_provider_start(on_large_provider_request, &request_count);

    (void)state;
    assert_non_null(provider.server);
    assert_true(event_loop_run_until(provider.loop, is_last_machine_listed, provider.client));
    assert_true(pm_workers_find(workers, "i-000001")->provider.is_listed);
    assert_in_range(request_count, MACHINE_COUNT / PAGE_MACHINES,
                    2 * MACHINE_COUNT / PAGE_MACHINES);
    fake_provider_stop(&provider);
}

/* Answers as a provider with one large machine, which a newly elected leader does not know yet.
 * Counts the requests to rent or terminate. */
static void on_small_provider_request(void *arg, struct pm_http_request *req)
{
    int *rental_count = arg;
    struct pm_buffer body = {0};

    *rental_count += req->method == PM_HTTP_POST;
    pm_cbor_put_map(&body);
    pm_cbor_put_text(&body, "hosts");
    pm_cbor_put_list(&body);
    if (req->method == PM_HTTP_GET) {
        pm_cbor_put_map(&body);
        pm_cbor_put_pair_text(&body, "name_id", "i-000001");
        pm_cbor_put_pair_text(&body, "model", "large");
        pm_cbor_put_pair_text(&body, "room", "a");
        pm_cbor_put_pair_flag(&body, "borrowed", true);
        pm_cbor_put_pair_text(&body, "status", "starting");
        pm_cbor_put_end(&body);
    }
    pm_cbor_put_end(&body);
    pm_cbor_put_pair_flag(&body, "has_next", false);
    pm_cbor_put_end(&body);
    pm_http_reply(req, 200, body.data, body.size, 0);
    pm_buffer_free(&body);
}

struct repeated_runs {
    struct pm_autoscaler *autoscaler;
    int runs_left;
};

static bool has_run_enough(void *arg)
{
    struct repeated_runs *runs = arg;
    double now = pm_clock_monotonic();

    pm_scheduler_run_plan(scheduler, now, now);
    pm_autoscaler_run(runs->autoscaler, now, now);
    return --runs->runs_left <= 0;
}

/* A new leader learns of machines that its predecessor rented only from the inventory. It must not
 * rent machines for the same demand before it has read the inventory. */
static void new_leader_reads_inventory_before_renting(void **state)
{
    int rental_count = 0;
    struct fake_provider provider = fake_provider_start(on_small_provider_request, &rental_count);
    struct repeated_runs runs = {.autoscaler = provider.client, .runs_left = 200};

    (void)state;
    strcpy(settings.zone_names[0], "a");
    assert_non_null(provider.server);
    /* This sets the time of the election. */
    pm_autoscaler_decode_silent_zones(runs.autoscaler, NULL, pm_clock_monotonic(), 0);
    /* The job needs exactly the capacity of the machine that the provider lists. */
    add_waiting_job("job-1", PM_WORKLOAD_ARRAY, 8, 4, 60, 120);
    assert_true(event_loop_run_until(provider.loop, has_run_enough, &runs));
    assert_true(pm_workers_find(workers, "i-000001")->provider.is_listed);
    assert_int_equal(rental_count, 0);
    fake_provider_stop(&provider);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(large_inventory_is_read_page_by_page, set_up, tear_down),
        cmocka_unit_test_setup_teardown(new_leader_reads_inventory_before_renting, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(machine_types_are_decoded, set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

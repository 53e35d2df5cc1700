/* Requests the machine types from the provider. The controller's hook stores the answer, so that
 * the other controllers know the types too. */
#include "autoscaler/internal.h"
#include "base/log.h"

enum { ANSWER_MAX = 256 * 1024 };
#define RETRY_S 1.0 /* minimum time between two requests */

static void on_answer(void *arg, int status, const unsigned char *body, size_t size)
{
    struct pm_autoscaler *autoscaler = arg;
    cbor_item_t *answer = status == PM_PROVIDER_HTTP_OK ? pm_cbor_parse(body, size) : NULL;
    const cbor_item_t *models = pm_cbor_get(answer, "models");

    autoscaler->types_request.in_flight = false;
    if (models && cbor_isa_array(models))
        autoscaler->hooks.machine_types(autoscaler->hooks.arg, models);
    else
        pm_info("autoscaler.machine_types",
                "no machine types received from the provider: status %d", status);
    pm_cbor_free(answer);
}

void pm_autoscaler_request_machine_types(struct pm_autoscaler *autoscaler, double now)
{
    struct pm_machine_types_request *request = &autoscaler->types_request;

    if (request->in_flight || (request->sent_at && now - request->sent_at < RETRY_S) ||
        !pm_autoscaler_acquire_request_token(autoscaler, now))
        return;
    request->in_flight = true;
    request->sent_at = now;
    pm_http_call(autoscaler->http, autoscaler->tables->settings->cloud_addr, "GET",
                 "/machine_types", NULL, 0, PM_PROVIDER_TIMEOUT_S, ANSWER_MAX, on_answer,
                 autoscaler);
}

/* Faults of the network between controllers, and between controllers and the fake services. */
#include "testing/cluster_internal.h"

/* The same fault for connections that the peer opened: there the relay's `from_controller` concerns
 * the peer's packets, so the two directions are swapped. */
static struct relay_fault mirror(struct relay_fault fault)
{
    return (struct relay_fault){.from_controller = fault.to_controller,
                                .to_controller = fault.from_controller,
                                .reset = fault.reset};
}

void cluster_set_link_fault(struct cluster *cluster, int controller, enum cluster_link link,
                            int target, struct relay_fault fault)
{
    switch (link) {
    case CLUSTER_LINK_STORE:
        relay_set_fault(cluster->store_relay, controller, fault);
        break;
    case CLUSTER_LINK_PEER:
        relay_set_fault(cluster->nodes[target].peer_relay, controller, fault);
        relay_set_fault(cluster->nodes[controller].peer_relay, target, mirror(fault));
        break;
    case CLUSTER_LINK_ZONE:
        fake_provider_set_zone_fault(cluster->provider, controller, target, fault);
        break;
    case CLUSTER_LINK_PROVIDER:
        fake_provider_set_api_fault(cluster->provider, controller, fault);
        break;
    }
}

static void clear_faults_of(struct cluster *cluster, int controller)
{
    const struct relay_fault none = {0};

    cluster_set_link_fault(cluster, controller, CLUSTER_LINK_STORE, 0, none);
    cluster_set_link_fault(cluster, controller, CLUSTER_LINK_PROVIDER, 0, none);
    for (int peer = 0; peer < cluster->settings.controller_count; peer++)
        cluster_set_link_fault(cluster, controller, CLUSTER_LINK_PEER, peer, none);
    for (int zone = 0; zone < cluster->settings.zone_count; zone++)
        cluster_set_link_fault(cluster, controller, CLUSTER_LINK_ZONE, zone, none);
}

void cluster_clear_link_faults(struct cluster *cluster)
{
    for (int i = 0; i < cluster->settings.controller_count; i++)
        clear_faults_of(cluster, i);
}

void cluster_set_store_refusal(struct cluster *cluster, int controller, bool refused)
{
    fake_store_set_second_addr_mode(cluster->store, FAKE_STORE_ADDR_REFUSES);
    relay_set_target(cluster->store_relay, controller,
                     refused ? fake_store_second_addr(cluster->store)
                             : fake_store_addr(cluster->store));
}

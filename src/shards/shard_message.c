/* Helpers for the messages between the leader and the owners (shard.proto). */
#include "shards/internal.h"

#include <string.h>

unsigned char *pm_shard_message_pack(const ProtobufCMessage *message, size_t *size)
{
    unsigned char *data;

    *size = protobuf_c_message_get_packed_size(message);
    /* At least one byte, because a message of default values is empty and g_malloc(0) is NULL. */
    data = g_malloc(*size + 1);
    protobuf_c_message_pack(message, data);
    return data;
}

void pm_shard_message_add_name(char ***names, size_t *count, const char *name)
{
    *names = g_renew(char *, *names, *count + 1);
    (*names)[(*count)++] = (char *)name;
}

bool pm_shard_message_has_name(char *const *names, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++)
        if (!strcmp(names[i], name))
            return true;
    return false;
}

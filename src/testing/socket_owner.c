#include "testing/socket_owner.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { ATTEMPTS = 3 };

/* Columns of a line of /proc/net/tcp. */
enum { COLUMN_LOCAL = 1, COLUMN_REMOTE = 2, COLUMN_INODE = 9 };

/* Parses a line of /proc/net/tcp. Returns the socket's inode, or 0 if the line has other ports or
 * the socket has been closed. Both ports are compared, because one local port can be connected to
 * several remote ports. */
static unsigned long match_inode(char *line, int local, int remote)
{
    char *rest = line;
    char *field;
    const char *colon;

    for (int column = 0; (field = strtok_r(rest, " ", &rest)); column++) {
        colon = strchr(field, ':');
        if (column == COLUMN_LOCAL && (!colon || strtol(colon + 1, NULL, 16) != local))
            return 0;
        if (column == COLUMN_REMOTE && (!colon || strtol(colon + 1, NULL, 16) != remote))
            return 0;
        if (column == COLUMN_INODE)
            return strtoul(field, NULL, 10);
    }
    return 0;
}

/* Searches /proc/net/tcp for the socket: the fallback if query_inode gets no answer from the
 * kernel. */
static unsigned long scan_for_inode(int local, int remote)
{
    FILE *file = fopen("/proc/net/tcp", "r");
    unsigned long found = 0;
    char line[512];

    while (file && !found && fgets(line, sizeof line, file))
        found = match_inode(line, local, remote);
    if (file)
        fclose(file);
    return found;
}

struct diag_query {
    struct nlmsghdr head;
    struct inet_diag_req_v2 request;
};

/* Asks the kernel for this one socket through netlink socket diagnostics. With thousands of
 * sockets, searching /proc/net/tcp takes too long. */
static unsigned long query_inode(const struct sockaddr_in *client, const struct sockaddr_in *server)
{
    struct diag_query query = {
        .head = {.nlmsg_len = sizeof query,
                 .nlmsg_type = SOCK_DIAG_BY_FAMILY,
                 .nlmsg_flags = NLM_F_REQUEST},
        .request = {.sdiag_family = AF_INET,
                    .sdiag_protocol = IPPROTO_TCP,
                    .idiag_states = ~0U,
                    .id = {.idiag_sport = client->sin_port,
                           .idiag_dport = server->sin_port,
                           .idiag_src = {client->sin_addr.s_addr},
                           .idiag_dst = {server->sin_addr.s_addr},
                           .idiag_cookie = {INET_DIAG_NOCOOKIE, INET_DIAG_NOCOOKIE}}}};
    char answer[1024] __attribute__((aligned(NLMSG_ALIGNTO)));
    const struct nlmsghdr *head = (const struct nlmsghdr *)(const void *)answer;
    unsigned long inode = 0;
    int fd = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);

    if (fd < 0)
        return 0;
    if (send(fd, &query, sizeof query, 0) == sizeof query &&
        recv(fd, answer, sizeof answer, 0) >= (ssize_t)NLMSG_LENGTH(sizeof(struct inet_diag_msg)) &&
        head->nlmsg_type == SOCK_DIAG_BY_FAMILY)
        inode = ((const struct inet_diag_msg *)NLMSG_DATA(head))->idiag_inode;
    close(fd);
    return inode;
}

static unsigned long find_inode(const struct sockaddr_in *client, const struct sockaddr_in *server)
{
    unsigned long inode = query_inode(client, server);

    return inode ? inode : scan_for_inode(ntohs(client->sin_port), ntohs(server->sin_port));
}

static bool has_socket(pid_t pid, unsigned long inode)
{
    char path[64];
    char expected[64];
    char link[320];
    char target[64];
    struct dirent *entry;
    bool found = false;
    DIR *dir;

    snprintf(path, sizeof path, "/proc/%d/fd", (int)pid);
    snprintf(expected, sizeof expected, "socket:[%lu]", inode);
    dir = opendir(path);
    while (dir && !found && (entry = readdir(dir))) {
        ssize_t length;
        snprintf(link, sizeof link, "%s/%s", path, entry->d_name);
        length = readlink(link, target, sizeof target - 1);
        found = length > 0 && (size_t)length == strlen(expected) &&
                !memcmp(target, expected, (size_t)length);
    }
    if (dir)
        closedir(dir);
    return found;
}

/* A process's list of open files can change while it is read, so all controllers are searched
 * several times before the socket counts as another process's. Finally checks whether the socket
 * has been closed in the meantime. */
int socket_owner_find(const struct sockaddr_in *client, const struct sockaddr_in *server,
                      const struct relay_controllers *controllers)
{
    unsigned long inode = find_inode(client, server);

    if (!inode)
        return SOCKET_OWNER_CLOSED;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++)
        for (int i = 0; i < controllers->count; i++)
            if (controllers->pid[i] && has_socket(controllers->pid[i], inode))
                return i;
    return find_inode(client, server) == inode ? SOCKET_OWNER_OTHER : SOCKET_OWNER_CLOSED;
}

/* Starts and stops the processes of controllers and of command-line tools, and detects controllers
 * that end by themselves. */
#include "testing/cluster_internal.h"
#include "base/clock.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define TOOL_POLL_S 0.05
#define PROCESS_POLL_S 0.05
#define RESTART_DELAY_S 1.0 /* from the end of a process by itself to its restart */

enum { OUTPUT_MAX = 256 * 1024, EXIT_NOT_STARTED = 127, LOG_MODE = 0644 };

static const char *program_of(const struct cluster *cluster, int controller)
{
    const struct cluster_settings *settings = &cluster->settings;

    return controller == 0 && settings->old_daemon ? settings->old_daemon : settings->daemon;
}

/* Lets the address sanitizer end a controller that uses too much memory, as the platform does. The
 * limit is several times that of the platform, since the sanitizer keeps freed memory. */
static void limit_memory(void)
{
    setenv("ASAN_OPTIONS", "detect_leaks=0:hard_rss_limit_mb=800", 1);
}

/* The file to which a controller's log goes; NULL: the test's standard error. Owned by the caller.
 * `test_process` is the id of the test's process. */
static char *log_path(const struct cluster_settings *settings, pid_t test_process)
{
    const char *directory = g_getenv("PM_TEST_LOG_DIR");

    if (settings->log_file)
        return g_strdup(settings->log_file);
    if (!settings->quiet)
        return NULL;
    if (!directory)
        return g_strdup("/dev/null");
    return g_strdup_printf("%s/%s-%d.log", directory, program_invocation_short_name,
                           (int)test_process);
}

static void redirect_log(const struct cluster_settings *settings)
{
    char *path = log_path(settings, getppid());

    if (path)
        dup2(open(path, O_WRONLY | O_CREAT | O_APPEND, LOG_MODE), STDERR_FILENO);
    g_free(path);
}

void cluster_start_controller(struct cluster *cluster, int controller)
{
    const struct cluster_settings *settings = &cluster->settings;
    const char *program = program_of(cluster, controller);
    char *argv[] = {
        (char *)program, "--config", cluster->nodes[controller].settings_path, NULL, NULL, NULL};
    pid_t pid;

    if (cluster->controllers.pid[controller])
        return;
    cluster->restart_at[controller] = 0;
    /* The old program may not support --operator. */
    if (settings->operator_yaml && program == settings->daemon) {
        argv[3] = "--operator";
        argv[4] = cluster->operator_path;
    }
    pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); /* so that no controller outlives a failed test */
        redirect_log(settings);
        limit_memory();
        execv(program, argv);
        _exit(EXIT_NOT_STARTED);
    }
    cluster->controllers.pid[controller] = pid;
}

void cluster_kill_controller(struct cluster *cluster, int controller)
{
    pid_t pid = cluster->controllers.pid[controller];

    cluster->restart_at[controller] = 0;
    if (!pid)
        return;
    kill(pid, SIGKILL);
    waitpid(pid, NULL, 0);
    cluster->controllers.pid[controller] = 0;
}

void cluster_upgrade_controller(struct cluster *cluster)
{
    cluster->settings.old_daemon = NULL;
    cluster_kill_controller(cluster, 0);
    cluster_start_controller(cluster, 0);
}

void cluster_pause_controller(struct cluster *cluster, int controller, bool paused)
{
    pid_t pid = cluster->controllers.pid[controller];

    if (pid) /* kill(0) would signal this process's own group */
        kill(pid, paused ? SIGSTOP : SIGCONT);
}

void cluster_signal_controller(struct cluster *cluster, int controller, int signal_number)
{
    pid_t pid = cluster->controllers.pid[controller];

    if (pid) /* kill(0) would signal this process's own group */
        kill(pid, signal_number);
}

pid_t cluster_controller_pid(const struct cluster *cluster, int controller)
{
    return cluster->controllers.pid[controller];
}

/* ---- ends of processes ---- */

static void record_end(struct cluster *cluster, int controller, int status)
{
    char cause[64];

    if (WIFSIGNALED(status))
        snprintf(cause, sizeof cause, "signal SIG%s", sigabbrev_np(WTERMSIG(status)));
    else
        snprintf(cause, sizeof cause, "exit status %d", WEXITSTATUS(status));
    history_controller_ended(cluster->history, cluster->nodes[controller].name, cause);
    cluster->controllers.pid[controller] = 0;
    cluster->restart_at[controller] = pm_clock_monotonic() + RESTART_DELAY_S;
}

static void check_process(struct cluster *cluster, int controller)
{
    pid_t pid = cluster->controllers.pid[controller];
    double restart_at = cluster->restart_at[controller];
    int status;

    if (pid && waitpid(pid, &status, WNOHANG) == pid)
        record_end(cluster, controller, status);
    else if (!pid && restart_at > 0 && pm_clock_monotonic() >= restart_at)
        cluster_start_controller(cluster, controller);
}

static void on_process_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct cluster *cluster = timer->data;

    (void)loop;
    (void)events;
    for (int i = 0; i < cluster->settings.controller_count; i++)
        check_process(cluster, i);
}

void cluster_processes_start(struct cluster *cluster)
{
    for (int i = 0; i < cluster->settings.controller_count; i++)
        cluster_start_controller(cluster, i);
    ev_timer_init(&cluster->process_timer, on_process_timer, PROCESS_POLL_S, PROCESS_POLL_S);
    cluster->process_timer.data = cluster;
    ev_timer_start(cluster->loop, &cluster->process_timer);
}

void cluster_processes_stop(struct cluster *cluster)
{
    ev_timer_stop(cluster->loop, &cluster->process_timer);
    for (int i = 0; i < cluster->settings.controller_count; i++)
        cluster_kill_controller(cluster, i);
}

/* ---- command-line tools ---- */

static pid_t start_tool(const char *const *argv, int output)
{
    pid_t pid = fork();

    if (pid == 0) {
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execv(argv[0], (char *const *)argv);
        _exit(EXIT_NOT_STARTED);
    }
    return pid;
}

static void read_output(int fd, GString *output)
{
    char data[4096];
    ssize_t size;

    while ((size = read(fd, data, sizeof data)) > 0 && output->len < OUTPUT_MAX)
        g_string_append_len(output, data, size);
}

char *cluster_run_tool(struct cluster *cluster, const char *const *argv, int *exit_status)
{
    GString *output = g_string_new(NULL);
    bool is_running = true;
    int status = 0;
    int ends[2];
    pid_t pid;

    if (pipe2(ends, O_CLOEXEC))
        g_error("cannot create a pipe for the output of a command-line tool");
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    pid = start_tool(argv, ends[1]);
    close(ends[1]);
    while (is_running) {
        cluster_run(cluster, TOOL_POLL_S);
        is_running = waitpid(pid, &status, WNOHANG) == 0;
        read_output(ends[0], output);
    }
    close(ends[0]);
    *exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return g_string_free(output, FALSE);
}

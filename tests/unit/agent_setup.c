#include "agent_setup.h"

#include <glib/gstdio.h>

struct agent_options agent_setup_options(void)
{
    static char machine[] = "m-1";
    static char type[] = "m8";
    static char zone[] = "a";
    static char address[] = "127.0.0.1:1";
    struct agent_options options = {.machine = machine,
                                    .type = type,
                                    .zone = zone,
                                    .listen = address,
                                    .advertise = address,
                                    .size = {4, 0, 16},
                                    .heartbeat_interval_s = 3,
                                    .lease_s = 20};
    static char *names[] = {"one", "two", "three"};
    options.controllers = g_array_new(FALSE, FALSE, sizeof(struct agent_controller));
    for (int i = 0; i < 3; i++) {
        struct agent_controller controller = {names[i], address};
        g_array_append_val(options.controllers, controller);
    }
    return options;
}

char *agent_setup_create_directory(void)
{
    return g_dir_make_tmp("ospreywell-agent-XXXXXX", NULL);
}

void agent_setup_remove_directory(char *directory)
{
    static const char *const names[] = {"session", "lock", "run-1.json", "history"};
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        char *path = g_build_filename(directory, names[i], NULL);
        g_unlink(path);
        g_free(path);
    }
    g_rmdir(directory);
    g_free(directory);
}

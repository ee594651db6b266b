/* Entry point of the agent, which runs the tasks of one machine. */
#include "agent/agent.h"
#include "io/log.h"

#include <stdio.h>
#include <stdlib.h>

int main(int argc, char **argv)
{
    struct agent_options options;
    g_autoptr(GError) error = NULL;
    ow_log_setup(getenv("LOG_LEVEL"));
    if (agent_options_parse(argc, argv, &options, &error))
        agent_run(&options);
    else
        fprintf(stderr, "ospreywell-agent: %s\n", error->message);
    agent_options_clear(&options);
    return EXIT_FAILURE;
}

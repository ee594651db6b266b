/* The program of a machine: the thin agent. */
#include "agent/agent.h"
#include "io/log.h"

#include <stdlib.h>

int main(int argc, char **argv)
{
    struct agent_options options;
    ow_log_setup(getenv("LOG_LEVEL"));
    if (agent_options_parse(argc, argv, &options))
        agent_run(&options);
    agent_options_clear(&options);
    return EXIT_FAILURE;
}

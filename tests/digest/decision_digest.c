/* Digests of every effect of every controller in seeded scenarios of a simulated cluster: two builds with
 * equal digests made the same decisions. Each scenario runs in a process of its own, so that none depends on
 * those before it.
 *
 * Prints a line "<scenario> <seed> <SHA-256> <number of effects>" for each scenario and seed; with --dump,
 * the hashed lines, one per effect, are printed before it.
 */
#include "chaos_scenario.h"
#include "effect_line.h"
#include "workload_scenario.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

enum { FIRST_SEED = 1, LAST_SEED = 32 };

/* A scenario with its variant. */
struct scenario_type {
    const char *name;
    void (*run)(guint32 seed, bool sharded, const struct sim_observer *observer);
    bool sharded;
};

static const struct scenario_type SCENARIO_TYPES[] = {
    {"plain", chaos_scenario_run, false},
    {"sharded", chaos_scenario_run, true},
    {"workload", workload_scenario_run, false},
    {"workload-sharded", workload_scenario_run, true},
};

/* The digest of the effects of one scenario so far. */
struct scenario_digest {
    GChecksum *checksum;
    unsigned effects;
    bool dump;
};

static void add_effect(void *data, const struct sim_cluster *cluster, int controller,
                       const struct ow_effect *effect)
{
    struct scenario_digest *digest = data;
    GString *line = g_string_new(NULL);
    g_string_printf(line, "%.2f %s ", cluster->now, cluster->settings[controller].controller_name);
    effect_line_append(line, effect);
    g_string_append_c(line, '\n');
    g_checksum_update(digest->checksum, (const guchar *)line->str, (gssize)line->len);
    digest->effects++;
    if (digest->dump)
        fputs(line->str, stdout);
    g_string_free(line, TRUE);
}

static void print_digest(const struct scenario_type *scenario_type, guint32 seed, bool dump)
{
    struct scenario_digest digest = {.checksum = g_checksum_new(G_CHECKSUM_SHA256), .dump = dump};
    struct sim_observer observer = {add_effect, &digest};
    scenario_type->run(seed, scenario_type->sharded, &observer);
    printf("%s %u %s %u\n", scenario_type->name, seed, g_checksum_get_string(digest.checksum),
           digest.effects);
    g_checksum_free(digest.checksum);
}

/* Runs the scenario in a child process; false if it failed. */
static bool print_digest_in_child(const struct scenario_type *scenario_type, guint32 seed, bool dump)
{
    fflush(stdout);
    pid_t process = fork();
    if (process == 0) {
        print_digest(scenario_type, seed, dump);
        exit(EXIT_SUCCESS);
    }
    int status = 0;
    bool passed = process > 0 && waitpid(process, &status, 0) == process && WIFEXITED(status) &&
                  WEXITSTATUS(status) == EXIT_SUCCESS;
    if (!passed)
        fprintf(stderr, "decision_digest: the %s scenario with seed %u failed\n", scenario_type->name, seed);
    return passed;
}

static bool print_digests(const struct scenario_type *scenario_type, guint32 first, guint32 last, bool dump)
{
    bool passed = true;
    for (guint32 seed = first; seed <= last; seed++)
        passed = print_digest_in_child(scenario_type, seed, dump) && passed;
    return passed;
}

static bool parse_seed(const char *text, guint32 *seed)
{
    guint64 number = 0;
    /* The largest value is excluded, as a loop up to it would not end. */
    if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT32 - 1, &number, NULL))
        return false;
    *seed = (guint32)number;
    return true;
}

int main(int argc, char **argv)
{
    guint32 first = FIRST_SEED;
    guint32 last = LAST_SEED;
    bool dump = false;
    for (int i = 1; i < argc; i++) {
        if (g_str_equal(argv[i], "--dump")) {
            dump = true;
        } else if (g_str_equal(argv[i], "--seeds") && i + 2 < argc && parse_seed(argv[i + 1], &first) &&
                   parse_seed(argv[i + 2], &last) && first <= last) {
            i += 2;
        } else {
            fprintf(stderr, "usage: %s [--seeds FIRST LAST] [--dump]\n", argv[0]);
            return EXIT_FAILURE;
        }
    }
    bool passed = true;
    for (size_t i = 0; i < G_N_ELEMENTS(SCENARIO_TYPES); i++)
        passed = print_digests(&SCENARIO_TYPES[i], first, last, dump) && passed;
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

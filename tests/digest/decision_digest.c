/* A digest of every effect of every controller on seeded days of a simulated cluster: two builds with equal
 * digests took the same decisions. Each day is played in a process of its own, so that none depends on those
 * before it.
 *
 * Prints a line "<fleet> <seed> <SHA-256> <number of effects>" for each day; with --dump, the lines of the
 * effects before it, which are what the digest is of.
 */
#include "chaos_day.h"
#include "effect_line.h"
#include "workload_day.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

enum { FIRST_SEED = 1, LAST_SEED = 32 };

/* A kind of days. */
struct fleet {
    const char *name;
    void (*play)(guint32 seed, bool sharded, const struct sim_observer *observer);
    bool sharded;
};

static const struct fleet FLEETS[] = {
    {"plain", chaos_day_play, false},
    {"sharded", chaos_day_play, true},
    {"workload", workload_day_play, false},
    {"workload-sharded", workload_day_play, true},
};

/* What has been seen of a day so far. */
struct day_digest {
    GChecksum *checksum;
    unsigned effects;
    bool dump;
};

static void add_effect(void *data, const struct sim_cluster *cluster, int controller,
                       const struct ow_effect *effect)
{
    struct day_digest *digest = data;
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

static void print_day(const struct fleet *fleet, guint32 seed, bool dump)
{
    struct day_digest digest = {.checksum = g_checksum_new(G_CHECKSUM_SHA256), .dump = dump};
    struct sim_observer observer = {add_effect, &digest};
    fleet->play(seed, fleet->sharded, &observer);
    printf("%s %u %s %u\n", fleet->name, seed, g_checksum_get_string(digest.checksum), digest.effects);
    g_checksum_free(digest.checksum);
}

/* False if the day failed. */
static bool print_day_apart(const struct fleet *fleet, guint32 seed, bool dump)
{
    fflush(stdout);
    pid_t process = fork();
    if (process == 0) {
        print_day(fleet, seed, dump);
        exit(EXIT_SUCCESS);
    }
    int status = 0;
    bool played = process > 0 && waitpid(process, &status, 0) == process && WIFEXITED(status) &&
                  WEXITSTATUS(status) == EXIT_SUCCESS;
    if (!played)
        fprintf(stderr, "decision_digest: the %s day of seed %u failed\n", fleet->name, seed);
    return played;
}

static bool print_days(const struct fleet *fleet, guint32 first, guint32 last, bool dump)
{
    bool played = true;
    for (guint32 seed = first; seed <= last; seed++)
        played = print_day_apart(fleet, seed, dump) && played;
    return played;
}

static bool parse_seed(const char *text, guint32 *seed)
{
    guint64 number = 0;
    /* One less than the largest, so that a loop over seeds ends. */
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
    bool played = true;
    for (size_t i = 0; i < G_N_ELEMENTS(FLEETS); i++)
        played = print_days(&FLEETS[i], first, last, dump) && played;
    return played ? EXIT_SUCCESS : EXIT_FAILURE;
}

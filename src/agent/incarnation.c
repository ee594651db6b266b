#include "agent/incarnation.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

enum { DIRECTORY_MODE = 0755, FILE_MODE = 0644, STATUS_FAILED = 1 };

static bool print_error(const char *what, const char *path)
{
    fprintf(stderr, "ospreywell-agent: %s %s: %s\n", what, path, strerror(errno));
    return false;
}

static char *path_of(const struct agent_incarnation *incarnation, const char *name)
{
    return g_build_filename(incarnation->directory, name, NULL);
}

static bool sync_path(const char *path, int flags)
{
    int fd = open(path, flags | O_CLOEXEC);
    bool ok = fd >= 0 && fsync(fd) == 0;
    if (fd >= 0)
        close(fd);
    return ok;
}

/* Written beside and renamed, so that a crash leaves the old numbers or the new ones. */
static bool store(const struct agent_incarnation *incarnation)
{
    char *path = path_of(incarnation, "session");
    char *beside = path_of(incarnation, "session.new");
    char *text =
        g_strdup_printf("%" PRIu64 " %" PRIu64 "\n", incarnation->number, incarnation->fencing_token);
    FILE *file = fopen(beside, "we");
    bool ok = file != NULL && fputs(text, file) >= 0;
    ok = file != NULL && fclose(file) == 0 && ok;
    ok = ok && sync_path(beside, O_RDONLY) && g_rename(beside, path) == 0 &&
         sync_path(incarnation->directory, O_RDONLY | O_DIRECTORY);
    g_free(text);
    g_free(beside);
    g_free(path);
    return ok;
}

static void store_or_end(const struct agent_incarnation *incarnation)
{
    if (store(incarnation))
        return;
    print_error("the session can't be stored in", incarnation->directory);
    exit(STATUS_FAILED);
}

/* Without a file this is the first incarnation of the machine; a file that can't be read is an error. */
static bool load(struct agent_incarnation *incarnation)
{
    char *path = path_of(incarnation, "session");
    char *text = NULL;
    bool ok = true;
    if (g_file_get_contents(path, &text, NULL, NULL))
        ok = sscanf(text, "%" SCNu64 " %" SCNu64, &incarnation->number, &incarnation->fencing_token) == 2;
    else
        ok = !g_file_test(path, G_FILE_TEST_EXISTS);
    if (!ok)
        fprintf(stderr, "ospreywell-agent: %s: can't be read\n", path);
    g_free(text);
    g_free(path);
    return ok;
}

/* The supervisors of an earlier process hold the lock until their tasks have ended. */
static bool take_lock(struct agent_incarnation *incarnation)
{
    char *path = path_of(incarnation, "lock");
    incarnation->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
    bool ok = incarnation->lock_fd >= 0 && flock(incarnation->lock_fd, LOCK_EX) == 0;
    if (!ok)
        print_error("can't lock", path);
    g_free(path);
    return ok;
}

bool agent_incarnation_open(struct agent_incarnation *incarnation, const char *directory)
{
    *incarnation = (struct agent_incarnation){.directory = g_strdup(directory), .lock_fd = -1};
    if (g_mkdir_with_parents(directory, DIRECTORY_MODE) != 0)
        return print_error("can't make", directory);
    if (!take_lock(incarnation) || !load(incarnation))
        return false;
    agent_incarnation_begin_next(incarnation);
    return true;
}

void agent_incarnation_close(struct agent_incarnation *incarnation)
{
    if (incarnation->lock_fd >= 0)
        close(incarnation->lock_fd);
    g_free(incarnation->directory);
}

void agent_incarnation_begin_next(struct agent_incarnation *incarnation)
{
    incarnation->number++;
    store_or_end(incarnation);
}

void agent_incarnation_set_fencing_token(struct agent_incarnation *incarnation, uint64_t fencing_token)
{
    incarnation->fencing_token = fencing_token;
    store_or_end(incarnation);
}

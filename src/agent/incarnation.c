#include "agent/incarnation.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

/* Modes of a new directory and of new files, and the exit status after a failure. */
enum { DIRECTORY_MODE = 0755, FILE_MODE = 0644, STATUS_FAILED = 1 };

/* File names in the state directory; "session" is an older term for an incarnation, kept for existing
 * files. */
static const char LOCK_NAME[] = "lock";
static const char NUMBERS_NAME[] = "session";
static const char NEW_NUMBERS_NAME[] = "session.new";

/* Sets the error to "failure path: cause", with the cause taken from errno, and returns false. */
static bool fail_with_errno(GError **error, const char *failure, const char *path)
{
    int number = errno;
    g_set_error(error, G_FILE_ERROR, (gint)g_file_error_from_errno(number), "%s %s: %s", failure, path,
                strerror(number));
    return false;
}

static char *path_in_directory(const struct agent_incarnation *incarnation, const char *name)
{
    return g_build_filename(incarnation->directory, name, NULL);
}

/* ---- the stored numbers ---- */

static bool sync_path(const char *path, int flags)
{
    int fd = open(path, flags | O_CLOEXEC);
    bool is_synced = fd >= 0 && fsync(fd) == 0;
    if (fd >= 0)
        close(fd);
    return is_synced;
}

static bool write_text(const char *path, const char *text)
{
    FILE *file = fopen(path, "we");
    if (file == NULL)
        return false;
    bool is_written = fputs(text, file) >= 0;
    return fclose(file) == 0 && is_written;
}

/* Writes to a temporary file and renames it, so that a crash leaves either the old numbers or the new ones.
 * Sets errno on failure. */
static bool store(const struct agent_incarnation *incarnation)
{
    g_autofree char *path = path_in_directory(incarnation, NUMBERS_NAME);
    g_autofree char *new_path = path_in_directory(incarnation, NEW_NUMBERS_NAME);
    g_autofree char *text =
        g_strdup_printf("%" PRIu64 " %" PRIu64 "\n", incarnation->number, incarnation->fencing_token);
    return write_text(new_path, text) && sync_path(new_path, O_RDONLY) && g_rename(new_path, path) == 0 &&
           sync_path(incarnation->directory, O_RDONLY | O_DIRECTORY);
}

static void store_or_exit(const struct agent_incarnation *incarnation)
{
    if (store(incarnation))
        return;
    fprintf(stderr, "ospreywell-agent: can't store the incarnation in %s: %s\n", incarnation->directory,
            strerror(errno));
    exit(STATUS_FAILED);
}

/* A missing file means the first incarnation of the machine; a file that can't be read is an error. */
static bool load(struct agent_incarnation *incarnation, GError **error)
{
    g_autofree char *path = path_in_directory(incarnation, NUMBERS_NAME);
    g_autofree char *text = NULL;
    bool is_loaded = false;
    if (g_file_get_contents(path, &text, NULL, NULL))
        is_loaded =
            sscanf(text, "%" SCNu64 " %" SCNu64, &incarnation->number, &incarnation->fencing_token) == 2;
    else
        is_loaded = !g_file_test(path, G_FILE_TEST_EXISTS);
    if (!is_loaded)
        g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_INVAL, "%s: can't be read as two numbers", path);
    return is_loaded;
}

/* ---- lifecycle ---- */

/* Blocks while supervisors of an earlier agent process hold the lock, which they do until their tasks have
 * ended. */
static bool take_lock(struct agent_incarnation *incarnation, GError **error)
{
    g_autofree char *path = path_in_directory(incarnation, LOCK_NAME);
    incarnation->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
    if (incarnation->lock_fd < 0 || flock(incarnation->lock_fd, LOCK_EX) != 0)
        return fail_with_errno(error, "can't lock", path);
    return true;
}

bool agent_incarnation_open(struct agent_incarnation *incarnation, const char *directory, GError **error)
{
    *incarnation = (struct agent_incarnation){.directory = g_strdup(directory), .lock_fd = -1};
    if (g_mkdir_with_parents(directory, DIRECTORY_MODE) != 0)
        return fail_with_errno(error, "can't create", directory);
    if (!take_lock(incarnation, error) || !load(incarnation, error))
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
    store_or_exit(incarnation);
}

void agent_incarnation_set_fencing_token(struct agent_incarnation *incarnation, uint64_t fencing_token)
{
    incarnation->fencing_token = fencing_token;
    store_or_exit(incarnation);
}

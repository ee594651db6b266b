/** @file
 * Encodes and decodes the messages between agents and controllers: heartbeats, commands and redirects.
 */
#ifndef OW_WIRE_WORKER_JSON_H
#define OW_WIRE_WORKER_JSON_H

#include "model/worker.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Encodes a heartbeat, for agents. @return owned by the caller (g_free) */
char *wire_heartbeat_encode(const struct ow_heartbeat *heartbeat);

/**
 * Decodes a heartbeat, for controllers. One invalid task makes the whole heartbeat malformed, because a
 * skipped task would look like one that has ended. An unknown cause is read as OW_CAUSE_ERROR.
 * @param text `size` bytes
 * @param error set, in the domain WIRE_JSON_ERROR, if it is malformed; may be NULL
 * @return owned by the caller; NULL if malformed
 */
struct ow_heartbeat *wire_heartbeat_decode(const char *text, size_t size, GError **error);

/**
 * Encodes the answer to a heartbeat, for leaders.
 * @param commands struct ow_worker_command; NULL for none
 * @return owned by the caller (g_free)
 */
char *wire_worker_commands_encode(uint64_t fencing_token, const GArray *commands);

/**
 * Encodes commands that a leader sends to an agent's own address.
 * @param incarnation expected incarnation of the agent
 * @param commands struct ow_worker_command; NULL for none
 * @return owned by the caller (g_free)
 */
char *wire_direct_commands_encode(uint64_t fencing_token, uint64_t incarnation, const GArray *commands);

/** Commands as an agent receives them, in the answer to a heartbeat or at its own address. */
struct wire_command_batch {
    bool has_fencing_token;
    bool has_incarnation;
    uint64_t fencing_token; /**< of the leader; 0 unless has_fencing_token */
    uint64_t incarnation;   /**< expected incarnation of the agent; 0 unless has_incarnation */
    GArray *commands;       /**< struct ow_worker_command */
};

/**
 * Decodes commands of either form, for agents. An unknown command makes the whole batch malformed.
 * @param text `size` bytes
 * @return owned by the caller; NULL if malformed
 */
struct wire_command_batch *wire_worker_commands_decode(const char *text, size_t size);

/** Frees a batch and its commands. @param batch may be NULL */
void wire_command_batch_free(struct wire_command_batch *batch);

/** Enables g_autoptr(wire_command_batch). */
typedef struct wire_command_batch wire_command_batch;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(wire_command_batch, wire_command_batch_free)

/**
 * Encodes the answer to a heartbeat that should go to the leader instead.
 * @param controller name of the leader; NULL if unknown
 * @return owned by the caller (g_free)
 */
char *wire_redirect_encode(const char *controller);

/** Decodes a redirect, for agents. @return name of the leader, owned (g_free); NULL if unknown */
char *wire_redirect_decode(const char *text, size_t size);

#endif

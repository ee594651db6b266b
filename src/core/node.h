/* One controller: what its parts share. Owned by core.c; nothing outside core/ sees it. */
#ifndef OW_CORE_NODE_H
#define OW_CORE_NODE_H

#include "core/bucket.h"
#include "core/calls.h"
#include "core/effects.h"
#include "core/job.h"
#include "core/limits.h"
#include "core/settings.h"

struct ow_confirm;
struct ow_replica;
struct ow_election;
struct ow_lead;

struct ow_node {
    const struct ow_settings *settings;
    const struct ow_rules *rules;
    struct ow_limits limits;
    GHashTable
        *peer_formats; /* peer name -> GUINT_TO_POINTER: the format of messages and records it speaks */
    uint64_t nonce;    /* tells this process from others of the same name */
    double now;
    double time_of_day; /* roughly: nothing that must be safe rests on it */
    GPtrArray *effects;
    struct ow_calls *calls;
    struct ow_name_tables names;
    struct ow_jobs *jobs;
    struct ow_machine_type *types[OW_MAX_TYPES]; /* by name index; NULL: not known */
    bool types_known;
    double types_asked_at;
    GArray *classes; /* struct ow_class, by class index; owned by classes.c */
    struct ow_replica *replica;
    struct ow_election *election;
    struct ow_lead *lead; /* NULL while another controller coordinates */
    uint64_t lead_token;  /* of `lead` */
    struct ow_confirm *confirm;
    double state_ok_at;      /* the last answer of the state service that was no failure */
    double state_bad_since;  /* 0: the last answer was good */
    double state_refused_at; /* its last refusal: it is in our reach, but may serve others */
    bool state_silent;       /* the last failure was no answer, rather than a refusal */
    GHashTable *peers_ok;    /* peer name -> double *: when it last said that its state service answers */
    double worker_heard_at;  /* the last report that came here; 0: none yet */
    double peer_hears_at;    /* when a peer last said that workers come to it */
    double peer_heard_at;    /* the last word of any peer; 0: none yet */
    GArray *machine_hints;   /* struct ow_peer_machine, from the coordinator's last message */
    double hello_at;
};

void ow_node_emit(struct ow_node *node, struct ow_effect *effect);
struct ow_effect *ow_effect_new(enum ow_effect_kind kind, uint64_t request);
void ow_node_refuse(struct ow_node *node, uint64_t request, int status, const char *text, int retry_after_s);
void ow_node_store(struct ow_node *node, struct ow_store_request *request, ow_call_fn fn, void *owner,
                   void *data, void (*free_data)(void *));
void ow_node_cloud(struct ow_node *node, struct ow_cloud_request *request, ow_call_fn fn, void *owner,
                   void *data, void (*free_data)(void *));
void ow_node_tell_peers(struct ow_node *node, struct ow_peer_message *message);
/* Tells the coordinator, here or elsewhere, that a job's record has changed. */
void ow_node_nudge(struct ow_node *node, uint64_t revision);
void ow_node_set_types(struct ow_node *node, const GArray *types);
void ow_node_free_types(struct ow_node *node);

#endif

/* Every word of the platform's protocols: paths, field names and values. They are spelt here and nowhere
 * else; the names of the macros are the terms that the rest of the code uses. */
#ifndef OW_WIRE_WORDS_H
#define OW_WIRE_WORDS_H

/* Paths. */
#define W_PATH_JOBS "/v2/runs"
#define W_PATH_CANCEL "withdraw"
#define W_PATH_HEALTH "/up"
#define W_PATH_HEARTBEAT "/hello"
#define W_PATH_COMMANDS "/commands"
#define W_PATH_STATUS "/status"
#define W_PATH_TYPES "/machine_types"
#define W_PATH_MACHINES "/rentals"
#define W_PATH_TERMINATE "/rentals/delete"
#define W_PATH_KEYS "/keys"
#define W_PATH_TXN "/txn"
#define W_PATH_LEASES "/holds"
#define W_PATH_KEEP_ALIVE "extend"
#define W_PATH_WATCH "/follow"
#define W_PATH_TEAMS "/v2/teams"             /* ours */
#define W_PATH_CONTROLLERS "/v2/controllers" /* ours */
#define W_PATH_SHARDS "/v2/shards"           /* ours */
#define W_JOB_PREFIX "run-"

/* Fields. */
#define W_ID "ref"
#define W_CLASS "flock"
#define W_TEAM "roost"
#define W_KIND "shape"
#define W_RANK "rank"
#define W_TASKS "talons"
#define W_TASK "talon"
#define W_CPUS "cores"
#define W_GPUS "gpus"
#define W_MEMORY_GB "ram_gb"
#define W_IMAGE "plumage"
#define W_IMAGE_GB "image_gb"
#define W_TYPES "breeds"
#define W_TYPE "breed"
#define W_ZONE "range"
#define W_ZONES "ranges"
#define W_ONE_ZONE "same_place"
#define W_SPREAD "scatter"
#define W_SPOT "windfall"
#define W_ESTIMATE_S "flight_s"
#define W_CHECKPOINT_INTERVAL_S "molt_s"
#define W_CHECKPOINT_DURATION_S "preen_s"
#define W_DEADLINE_S "dusk_s"
#define W_STATE "stance"
#define W_MACHINE "perch"
#define W_MACHINES "perches"
#define W_ADDRESS "addr"
#define W_INCARNATION "stint"
#define W_SEQUENCE "chirp"
#define W_FENCING_TOKEN "crest"
#define W_RECLAIM_NOTICE_S "warning_s"
#define W_ATTEMPT "dive"
#define W_CAUSE "cause"
#define W_CHECKPOINT_SAVED "saved"
#define W_COMMANDS "calls"
#define W_COMMAND "call"
#define W_GRACE_S "glide_s"
#define W_REDIRECT_TO "eyrie"
#define W_NAME "name"
#define W_CACHE_GB "cache_gb"
#define W_FETCH_GB_PER_S "pull_gb_per_s"
#define W_HOURLY_PRICE "hourly"
#define W_SPOT_HOURLY_PRICE "low_price"
#define W_BOOT_S "boot_s"
#define W_REQUEST_ID "bid"
#define W_COUNT "number"
#define W_AFTER "since"
#define W_LIMIT "most"
#define W_AGE_S "age_s"
#define W_MORE "has_next"
#define W_REVISION "tide"
#define W_VERSION "mark"
#define W_LEASE "tether"
#define W_KEY "k"
#define W_VALUE "value"
#define W_PREFIX "under"
#define W_ITEMS "pairs"
#define W_COMPARISONS "if"
#define W_MUTATIONS "apply"
#define W_PUT "write"
#define W_DELETE "drop"
#define W_TTL_MS "ttl_ms"
#define W_WATCH_MS "hold_ms"
#define W_EVENTS "log"
#define W_FAILED_KEYS "failed"

/* Ours, in answers to users. */
#define W_DONE_COUNT "done"
#define W_RUNNING_COUNT "running"
#define W_REASON "reason"

/* Values, in the order of the enums of core/types.h. */
extern const char *const wire_kinds[];           /* enum ow_job_kind */
extern const char *const wire_ranks[];           /* enum ow_rank */
extern const char *const wire_phases[];          /* enum ow_task_phase */
extern const char *const wire_causes[];          /* enum ow_exit_cause */
extern const char *const wire_worker_commands[]; /* enum ow_worker_command_kind */
extern const char *const wire_listed_states[];   /* enum ow_listed_state */
extern const char *const wire_job_states[];      /* enum ow_job_state */

/* The index of `word` in a table ended by NULL, or -1. */
int wire_word_index(const char *const *table, const char *word);

#endif

/** @file
 * The paths, field names and values of the protocol, each with the term that the code uses for it.
 *
 * The protocol uses themed words: a job is a "run", a machine a "perch", a machine type a "breed", a fencing
 * token a "crest". They appear only in this module, not in other code or in log lines; macros are named after
 * the usual term, with the unit. The protocol's description defines how the words are used.
 */
#ifndef OW_WIRE_WORDS_H
#define OW_WIRE_WORDS_H

/* ---- paths of controllers, for users and agents ---- */

#define W_PATH_JOBS "/v2/runs"               /* jobs of users */
#define W_PATH_CANCEL "withdraw"             /* appended to a job's path: cancel it */
#define W_PATH_HEALTH "/up"                  /* whether the controller is ready */
#define W_PATH_HEARTBEAT "/hello"            /* an agent's heartbeat */
#define W_JOB_PREFIX "run-"                  /* prefix of every job id */
#define W_PATH_TEAMS "/v2/teams"             /* not in the protocol: resource usage of teams */
#define W_PATH_CONTROLLERS "/v2/controllers" /* not in the protocol: controllers, for operators */
#define W_PATH_SHARDS "/v2/shards"           /* not in the protocol: shards, for operators */

/* ---- paths of agents ---- */

#define W_PATH_COMMANDS "/commands" /* commands at the agent's own address */
#define W_PATH_STATUS "/status"     /* the agent's heartbeat, on request */

/* ---- paths of the cloud ---- */

#define W_PATH_TYPES "/machine_types"      /* machine types */
#define W_PATH_MACHINES "/rentals"         /* list; provision */
#define W_PATH_TERMINATE "/rentals/delete" /* terminate */

/* ---- paths of the key-value store ---- */

#define W_PATH_KEYS "/keys"        /* get, list */
#define W_PATH_TXN "/txn"          /* transaction */
#define W_PATH_LEASES "/holds"     /* grant a lease */
#define W_PATH_KEEP_ALIVE "extend" /* appended to a lease's path: renew it */
#define W_PATH_WATCH "/follow"     /* watch */

/* ---- fields of a job ---- */

#define W_ID "ref"                        /* id of a job; name of a listed machine */
#define W_CLASS "flock"                   /* class of similar jobs */
#define W_TEAM "roost"                    /* team */
#define W_KIND "shape"                    /* kind: array, gang, service */
#define W_RANK "rank"                     /* rank: how urgent */
#define W_TASKS "talons"                  /* number of tasks; in a heartbeat the list of attempts */
#define W_TASK "talon"                    /* a task: "<job>/<number>" */
#define W_CPUS "cores"                    /* CPUs */
#define W_GPUS "gpus"                     /* GPUs */
#define W_MEMORY_GB "ram_gb"              /* memory */
#define W_IMAGE "plumage"                 /* image */
#define W_IMAGE_GB "image_gb"             /* size of the image */
#define W_TYPES "breeds"                  /* machine types */
#define W_TYPE "breed"                    /* machine type */
#define W_ZONE "range"                    /* zone */
#define W_ZONES "ranges"                  /* zones */
#define W_ONE_ZONE "same_place"           /* all tasks in one zone */
#define W_SPREAD "scatter"                /* tasks spread over zones */
#define W_SPOT "windfall"                 /* may run on spot instances; is a spot instance */
#define W_ESTIMATE_S "flight_s"           /* estimated duration */
#define W_CHECKPOINT_INTERVAL_S "molt_s"  /* between checkpoints */
#define W_CHECKPOINT_DURATION_S "preen_s" /* to save a checkpoint */
#define W_DEADLINE_S "dusk_s"             /* deadline, relative to the submission */
#define W_STATE "stance"                  /* state of a job or instance, phase of an attempt */

/* ---- fields between agents and controllers ---- */

#define W_MACHINE "perch"              /* machine */
#define W_MACHINES "perches"           /* machines */
#define W_ADDRESS "addr"               /* host:port of an agent */
#define W_INCARNATION "stint"          /* incarnation of an agent */
#define W_SEQUENCE "chirp"             /* sequence number of a heartbeat within the incarnation */
#define W_FENCING_TOKEN "crest"        /* fencing token of a leader */
#define W_RECLAIM_NOTICE_S "warning_s" /* reclaim notice of a spot instance */
#define W_ATTEMPT "dive"               /* attempt of a task */
#define W_CAUSE "cause"                /* why an attempt has ended */
#define W_CHECKPOINT_SAVED "saved"     /* a stopped attempt has saved its checkpoint */
#define W_COMMANDS "calls"             /* commands */
#define W_COMMAND "call"               /* kind of a command */
#define W_GRACE_S "glide_s"            /* grace period for stopping */
#define W_REDIRECT_TO "eyrie"          /* the leading controller */

/* ---- fields of the cloud ---- */

#define W_NAME "name"                    /* name of a machine type */
#define W_CACHE_GB "cache_gb"            /* size of the image cache */
#define W_FETCH_GB_PER_S "pull_gb_per_s" /* rate of fetching images */
#define W_HOURLY_PRICE "hourly"          /* price of an ordinary instance */
#define W_SPOT_HOURLY_PRICE "low_price"  /* price of a spot instance */
#define W_BOOT_S "boot_s"                /* time to boot */
#define W_REQUEST_ID "bid"               /* id of a provisioning request, the same in a retry */
#define W_COUNT "number"                 /* number of instances */
#define W_AFTER "since"   /* list: entries after this one; watch: changes after this revision */
#define W_LIMIT "most"    /* maximum number of entries in a page */
#define W_AGE_S "age_s"   /* age of an instance */
#define W_MORE "has_next" /* whether there is another page */

/* ---- fields of the key-value store ---- */

#define W_REVISION "tide"             /* revision of the store */
#define W_MOD_REVISION "mark"         /* revision of a key's last change */
#define W_LEASE "tether"              /* lease */
#define W_KEY "k"                     /* key */
#define W_VALUE "value"               /* value */
#define W_PREFIX "under"              /* prefix of keys */
#define W_ITEMS "pairs"               /* keys and values of a list */
#define W_COMPARISONS "if"            /* comparisons of a transaction */
#define W_MUTATIONS "apply"           /* mutations of a transaction */
#define W_PUT "write"                 /* put */
#define W_DELETE "drop"               /* delete */
#define W_TTL_MS "ttl_ms"             /* time to live of a lease */
#define W_WATCH_DURATION_MS "hold_ms" /* maximum duration of a watch */
#define W_EVENTS "log"                /* changes in the reply to a watch */
#define W_FAILED_KEYS "failed"        /* keys whose comparison failed */

/* ---- fields of answers to users that are not in the protocol ---- */

#define W_DONE_COUNT "done"                /* number of tasks that are done */
#define W_RUNNING_COUNT "running"          /* number of running tasks */
#define W_REASON "reason"                  /* why a job waits */
#define W_TEAMS "teams"                    /* teams */
#define W_TEAM_JOBS "jobs"                 /* number of a team's jobs that have not ended */
#define W_TEAM_WAITING_JOBS "waiting_jobs" /* number of these that wait */
#define W_TEAM_RUNNING "running"           /* resources that a team uses */
#define W_TEAM_WAITING "waiting"           /* resources that a team waits for */
#define W_ERROR "error"                    /* error message */

/** @name Words for enum values, indexed by the enum and NULL-terminated. */
/** @{ */
extern const char *const wire_job_kinds[];       /**< enum ow_job_kind */
extern const char *const wire_job_ranks[];       /**< enum ow_rank */
extern const char *const wire_task_phases[];     /**< enum ow_task_phase */
extern const char *const wire_exit_causes[];     /**< enum ow_exit_cause */
extern const char *const wire_worker_commands[]; /**< enum ow_worker_command_kind */
extern const char *const wire_listed_states[];   /**< enum ow_listed_state */
extern const char *const wire_job_states[];      /**< enum ow_job_state */
/** @} */

/** Looks up a word. @param words NULL-terminated @param word may be NULL @return its index, or -1 if not
 * found */
int wire_word_index(const char *const *words, const char *word);

#endif

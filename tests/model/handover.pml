/* A model of the handover of one shard: the leader's key in the key-value store with its lease, two controllers, two
 * machines and one task, over a network that loses, duplicates and delays messages. A frozen controller is one that
 * takes no step while others do, so the interleavings contain pauses of every length. Failure suspicion is not
 * modelled, since safety does not depend on it.
 *
 * Each fence can be disabled with a macro, and the model then fails:
 *   NO_TOKEN_CHECK       a machine accepts commands with any token
 *   NO_KEY_CONDITION     a write is applied although its writer no longer holds the key
 *   NO_VERSION_CONDITION a write is applied although the record has changed since its writer read it
 *   NO_RECORD_FIRST      a launch may be sent before its record is written
 *   NO_MACHINE_FENCE     a heartbeat under an older token counts as proof that an attempt is gone
 *   NO_LEASE_CHECK       a launch is sent without a check of the leader's lease
 *   NO_LEASE_GONE        the key can be taken while its holder's lease is valid
 */

#ifndef KEY_EXPIRIES
#define KEY_EXPIRIES 2 /* number of leader leases that expire while their holder runs */
#endif
#ifndef MACHINE_EXPIRIES
#define MACHINE_EXPIRIES 1 /* number of expiries of each machine's own lease */
#endif
#ifndef VERSIONS
#define VERSIONS 3 /* number of writes of the record: a placement, its end, another placement */
#endif
#define CONTROLLERS 2
#define MACHINES 2
#define NO_HOLDER 0
#define NO_MACHINE 0

/* The key-value store. */
byte last_token = 0;
byte holder = NO_HOLDER; /* index of the controller, plus 1 */
byte held_token = 0;
bool lease[CONTROLLERS];
byte record_machine = NO_MACHINE; /* index, plus 1, of the machine on which an attempt may run */
byte record_incarnation = 0;
byte record_version = 0;
byte key_expiries = 0;

/* Writes in flight: one for each controller that waits for the response, and one that the first controller has timed
 * out, which is applied late or never. */
typedef Write { bool pending; byte token; byte version; byte machine; byte incarnation; }
Write writes[3];
#define LATE_WRITE CONTROLLERS

/* The machines. Their last heartbeats (reported_*) may be arbitrarily old. */
byte highest_token[MACHINES];
byte incarnation[MACHINES];
bool runs[MACHINES];
byte machine_expiries[MACHINES];
byte reported_token[MACHINES];
byte reported_incarnation[MACHINES];
bool reported_runs[MACHINES];

mtype = { FENCE, LAUNCH };
chan commands[MACHINES] = [1] of { mtype, byte, byte }; /* token, incarnation */

/* The controllers. */
typedef View {
    bool leads; bool loaded; byte token; byte machine; byte incarnation; byte version; bool launched; bool ended;
}
View views[CONTROLLERS];

#define BOTH_RUN (runs[0] && runs[1])

inline send_command(to, command, with_token, to_incarnation)
{
    /* With a full channel the command is lost. */
    if
    :: nfull(commands[to]) -> commands[to]!command, with_token, to_incarnation
    :: full(commands[to]) -> skip
    fi
}

/* Resets what a controller has read and done: it is irrelevant once it does not lead, and one state for all of it
 * keeps the search small. */
inline reset_view(who)
{
    views[who].loaded = false;
    views[who].token = 0;
    views[who].machine = NO_MACHINE;
    views[who].incarnation = 0;
    views[who].version = 0;
    views[who].launched = false;
    views[who].ended = false
}

inline clear_write(which)
{
    writes[which].pending = false;
    writes[which].token = 0;
    writes[which].version = 0;
    writes[which].machine = NO_MACHINE;
    writes[which].incarnation = 0
}

/* Whether the last heartbeat of machine m proves that the recorded attempt is gone. */
#ifdef NO_MACHINE_FENCE
#define REPORTED_UNDER_OWN_TOKEN(c, m) (true)
#else
#define REPORTED_UNDER_OWN_TOKEN(c, m) (reported_token[m] == views[c].token)
#endif
#define GONE(c, m) (REPORTED_UNDER_OWN_TOKEN(c, m) && !reported_runs[m] && \
    (reported_incarnation[m] > views[c].incarnation || \
     (reported_incarnation[m] == views[c].incarnation && !views[c].launched)))

#ifdef NO_LEASE_CHECK
#define MAY_LAUNCH(c) (true)
#else
#define MAY_LAUNCH(c) (lease[c])
#endif

#ifdef NO_LEASE_GONE
#define KEY_IS_FREE(c) (holder != c + 1)
#else
#define KEY_IS_FREE(c) (holder == NO_HOLDER)
#endif

#ifdef NO_KEY_CONDITION
#define KEY_IS_HELD(c) (true)
#else
#define KEY_IS_HELD(c) (writes[c].token == held_token)
#endif

#ifdef NO_VERSION_CONDITION
#define VERSION_IS_CURRENT(c) (true)
#else
#define VERSION_IS_CURRENT(c) (writes[c].version == record_version)
#endif

#ifdef NO_TOKEN_CHECK
#define TOKEN_IS_ACCEPTED(m, t) (true)
#else
#define TOKEN_IS_ACCEPTED(m, t) (t >= highest_token[m])
#endif

proctype Controller(byte c)
{
    byte m;
end:
    do
    /* Obtains a lease and takes the key, in one transaction that requires the key to be unchanged since it was read. */
    :: atomic { !views[c].leads && KEY_IS_FREE(c) && last_token <= KEY_EXPIRIES + 1 ->
           assert(holder == NO_HOLDER);
           last_token++;
           holder = c + 1;
           held_token = last_token;
           lease[c] = true;
           views[c].leads = true;
           views[c].loaded = false;
           views[c].token = last_token }
    /* Reads the record. Within its term it remembers whether it has launched the attempt or found it gone. */
    :: atomic { views[c].leads && !views[c].loaded ->
           views[c].launched = views[c].launched && views[c].version == record_version;
           views[c].ended = views[c].ended && views[c].version == record_version;
           views[c].machine = record_machine;
           views[c].incarnation = record_incarnation;
           views[c].version = record_version;
           views[c].loaded = true }
    /* Learns that it no longer leads. */
    :: atomic { views[c].leads && holder != c + 1 -> views[c].leads = false; reset_view(c) }
    /* Sends a machine its token. */
    :: atomic { views[c].leads && views[c].loaded && reported_token[0] != views[c].token ->
           send_command(0, FENCE, views[c].token, 0) }
    :: atomic { views[c].leads && views[c].loaded && reported_token[1] != views[c].token ->
           send_command(1, FENCE, views[c].token, 0) }
    /* Places the task on a machine that has sent a heartbeat under its token, or removes an attempt that is gone. */
    :: atomic { views[c].leads && views[c].loaded && !writes[c].pending && views[c].machine == NO_MACHINE &&
           record_version < VERSIONS ->
           if
           :: m = 0
           :: m = 1
           fi;
           if
           :: reported_token[m] == views[c].token ->
                  writes[c].pending = true;
                  writes[c].token = views[c].token;
                  writes[c].version = views[c].version;
                  writes[c].machine = m + 1;
                  writes[c].incarnation = reported_incarnation[m]
#ifdef NO_RECORD_FIRST
                  ; send_command(m, LAUNCH, views[c].token, reported_incarnation[m])
#endif
           :: else -> skip
           fi }
    :: atomic { views[c].leads && views[c].loaded && !writes[c].pending && views[c].machine != NO_MACHINE ->
           m = views[c].machine - 1;
           if
           :: GONE(c, m) ->
                  views[c].ended = true;
                  writes[c].pending = true;
                  writes[c].token = views[c].token;
                  writes[c].version = views[c].version;
                  writes[c].machine = NO_MACHINE;
                  writes[c].incarnation = 0
           :: else -> skip
           fi }
    /* The write times out: the controller reads the record again, while the write may still be applied. */
    :: atomic { c == 0 && views[c].leads && writes[c].pending && !writes[LATE_WRITE].pending ->
           writes[LATE_WRITE].pending = true;
           writes[LATE_WRITE].token = writes[c].token;
           writes[LATE_WRITE].version = writes[c].version;
           writes[LATE_WRITE].machine = writes[c].machine;
           writes[LATE_WRITE].incarnation = writes[c].incarnation;
           clear_write(c);
           views[c].loaded = false }
    /* Launches the recorded attempt once the machine has reported its token; may repeat the launch. */
    :: atomic { views[c].leads && views[c].loaded && !writes[c].pending && views[c].machine != NO_MACHINE &&
           !views[c].ended && MAY_LAUNCH(c) ->
           m = views[c].machine - 1;
           if
           :: reported_token[m] == views[c].token && reported_incarnation[m] == views[c].incarnation &&
              !reported_runs[m] ->
                  assert(lease[c]);
                  views[c].launched = true;
                  send_command(m, LAUNCH, views[c].token, views[c].incarnation)
           :: else -> skip
           fi }
    od
}

/* Applies writes in any order and at any time, and expires leases whose holder may still run. */
proctype KeyValueStore()
{
    byte w, c;
end:
    do
    :: atomic { writes[0].pending -> w = 0; goto carry_out }
    :: atomic { writes[1].pending -> w = 1; goto carry_out }
    :: atomic { writes[2].pending -> w = 2; goto carry_out }
    :: atomic { key_expiries < KEY_EXPIRIES && holder != NO_HOLDER ->
           key_expiries++;
           lease[holder - 1] = false;
           holder = NO_HOLDER;
           held_token = 0 }
    od;
carry_out:
    atomic {
        c = w % CONTROLLERS;
        if
        :: KEY_IS_HELD(w) && VERSION_IS_CURRENT(w) ->
               assert(writes[w].token == held_token);
               record_machine = writes[w].machine;
               record_incarnation = writes[w].incarnation;
               record_version++;
               /* The writer gets the response if it still waits for it. */
               if
               :: w < CONTROLLERS && views[c].leads && views[c].loaded && views[c].token == writes[w].token ->
                      views[c].machine = record_machine;
                      views[c].incarnation = record_incarnation;
                      views[c].version = record_version;
                      views[c].launched = false;
                      views[c].ended = false
               :: else -> skip
               fi
        :: else ->
               /* The write is refused: the writer, if it still waits, reads the record again. */
               if
               :: w < CONTROLLERS -> views[c].loaded = false
               :: else -> skip
               fi
        fi;
        clear_write(w);
        w = 0;
        c = 0;
        goto end
    }
}

proctype Machine(byte m)
{
    byte t, s;
end:
    do
    :: atomic { commands[m]?FENCE(t, s) ->
           if
           :: TOKEN_IS_ACCEPTED(m, t) -> assert(t >= highest_token[m]); highest_token[m] = t
           :: !TOKEN_IS_ACCEPTED(m, t) -> skip
           fi }
    :: atomic { commands[m]?LAUNCH(t, s) ->
           if
           :: TOKEN_IS_ACCEPTED(m, t) && s == incarnation[m] ->
                  assert(t >= highest_token[m]);
                  highest_token[m] = t;
                  runs[m] = true;
                  assert(!BOTH_RUN)
           :: else -> skip
           fi }
    :: atomic { reported_token[m] != highest_token[m] || reported_incarnation[m] != incarnation[m] ||
           reported_runs[m] != runs[m] ->
           reported_token[m] = highest_token[m];
           reported_incarnation[m] = incarnation[m];
           reported_runs[m] = runs[m] }
    /* Its lease has expired without a response to a heartbeat: it kills its task and starts a new incarnation. */
    :: atomic { machine_expiries[m] < MACHINE_EXPIRIES -> machine_expiries[m]++; incarnation[m]++; runs[m] = false }
    od
}

init
{
    atomic {
        run KeyValueStore();
        run Controller(0);
        run Controller(1);
        run Machine(0);
        run Machine(1)
    }
}

#ifdef LIVENESS
/* A shard without a leader gets one eventually. */
ltl leader_elected_again { [] ((holder == NO_HOLDER) -> <> (holder != NO_HOLDER)) }
#endif

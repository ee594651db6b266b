/**
 * @file
 * Counts and logs messages of other controllers that were invalid or outdated and have been dropped.
 */
#ifndef OW_SHARDING_DROPPED_MESSAGES_H
#define OW_SHARDING_DROPPED_MESSAGES_H

/** Why a message is dropped. */
enum ow_drop_cause {
    OW_DROP_NONE,               /**< the message is not dropped */
    OW_DROP_UNKNOWN_SENDER,     /**< its sender is not in the settings */
    OW_DROP_NO_INCARNATION,     /**< it has no incarnation */
    OW_DROP_OLD_INCARNATION,    /**< it is of an earlier process of the sender */
    OW_DROP_OLD_SEQUENCE,       /**< it is not newer than the last one */
    OW_DROP_MISADDRESSED_PROBE, /**< a step of a probe that is not for this controller */
};

/** The count of dropped messages. Initialized with zeros. */
struct ow_dropped_messages {
    unsigned count;
    double logged_at; /**< time of the last log line, in seconds of the monotonic clock */
};

/** Counts a message and logs it, at most every 10 s. `sender` may be NULL: the message names none. */
void ow_dropped_messages_add(struct ow_dropped_messages *dropped, double now, const char *sender,
                             enum ow_drop_cause cause);

#endif

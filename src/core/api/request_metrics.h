/** @file
 * Counts how user requests are answered, for the periodic log line of status_log.h. No decision depends on
 * the counts. Owns `struct ow_request_metrics`.
 */
#ifndef OW_CORE_API_REQUEST_METRICS_H
#define OW_CORE_API_REQUEST_METRICS_H

/** How a request about a job is answered. */
enum ow_answer_kind {
    OW_ANSWER_STATE,                 /**< with the state of the job */
    OW_ANSWER_MALFORMED,             /**< 400: not a submission */
    OW_ANSWER_UNKNOWN_JOB,           /**< 404: nobody has submitted the job */
    OW_ANSWER_IMPOSSIBLE,            /**< 422: the job can never run */
    OW_ANSWER_RETRY_STARTING,        /**< 503: the job table or the machine types have not been read */
    OW_ANSWER_RETRY_STORE,           /**< 503: a read or write of the key-value store has failed */
    OW_ANSWER_RETRY_LEADER,          /**< 503: no leader is known, or it has just changed */
    OW_ANSWER_RETRY_ACKNOWLEDGEMENT, /**< 503: no leader has acknowledged the cancellation */
    OW_ANSWER_RETRY_SIZE,            /**< 503: the store's size limit has just become lower */
};

/** The number of kinds. */
enum { OW_ANSWER_KINDS = OW_ANSWER_RETRY_SIZE + 1 };

/** The answers since the last reset. */
struct ow_request_metrics {
    unsigned answers[OW_ANSWER_KINDS];
};

/** Counts an answer. */
void ow_request_metrics_note_answer(struct ow_request_metrics *metrics, enum ow_answer_kind kind);
/** Logs the counts as one line, unless all of them are 0, and resets them. */
void ow_request_metrics_log(struct ow_request_metrics *metrics);

#endif

/**
 * @file
 * How the process of a task has ended, as its supervisor tells the agent and the history.
 */
#ifndef OW_AGENT_TASK_END_H
#define OW_AGENT_TASK_END_H

/** The ends of a task's process. The numbers are recorded in histories: new ones are added at the end. */
enum agent_task_end {
    AGENT_END_NONE,        /**< it has not ended */
    AGENT_END_EXIT,        /**< by itself: see its exit status */
    AGENT_END_SIGNAL,      /**< by a signal that the supervisor has not sent */
    AGENT_END_STOPPED,     /**< told to, and gone by itself in time: see its exit status */
    AGENT_END_KILLED,      /**< told to, and killed at the end of its grace */
    AGENT_END_LEASE,       /**< killed: the lease has expired */
    AGENT_END_NO_AGENT,    /**< killed: the agent is gone */
    AGENT_END_NOT_STARTED, /**< its command could not be run */
};

#endif

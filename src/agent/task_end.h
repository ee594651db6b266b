/**
 * @file
 * How the process of a task has ended, as its supervisor reports it to the agent and the history.
 */
#ifndef OW_AGENT_TASK_END_H
#define OW_AGENT_TASK_END_H

/** How a task's process has ended. The numbers are recorded in histories: add new values at the end. */
enum agent_task_end {
    AGENT_END_NONE,        /**< the process has not ended */
    AGENT_END_EXIT,        /**< exited by itself: see its exit status */
    AGENT_END_SIGNAL,      /**< terminated by a signal that the supervisor did not send */
    AGENT_END_STOPPED,     /**< exited within the grace period of a stop: see its exit status */
    AGENT_END_KILLED,      /**< killed at the end of the grace period of a stop */
    AGENT_END_LEASE,       /**< killed because the lease expired */
    AGENT_END_NO_AGENT,    /**< killed because the agent exited */
    AGENT_END_NOT_STARTED, /**< the command could not be executed */
};

#endif

/** @file
 * How much of a long list one message to the other controllers carries, so that a link is not busy with it
 * for long.
 */
#ifndef OW_CORE_PEERS_MESSAGE_LIMITS_H
#define OW_CORE_PEERS_MESSAGE_LIMITS_H

enum {
    OW_MESSAGE_PART_BYTES = 64 * 1024, /**< of the entries of one message */
    OW_MESSAGE_PART_ENTRIES = 1000,
    OW_MESSAGE_ENTRY_BYTES = 32, /**< what an entry takes at most beside its texts: four lengths, their
                                    padding and a flag */
};

#endif

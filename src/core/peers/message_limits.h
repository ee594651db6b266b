/** @file
 * Size limits of one message that carries a part of a long list, so that it does not block a link for long.
 */
#ifndef OW_CORE_PEERS_MESSAGE_LIMITS_H
#define OW_CORE_PEERS_MESSAGE_LIMITS_H

enum {
    OW_MESSAGE_PART_BYTES = 64 * 1024, /**< total size of the entries of one message */
    OW_MESSAGE_PART_ENTRIES = 1000,    /**< entries of one message */
    OW_MESSAGE_ENTRY_BYTES = 32,       /**< upper bound of the size of an entry without its strings */
};

#endif

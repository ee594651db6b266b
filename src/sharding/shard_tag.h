/**
 * @file
 * Tags of outgoing requests: the upper bits identify the shard, so that the reply is passed to its core; the
 * lower bits are the core's own tag.
 */
#ifndef OW_SHARDING_SHARD_TAG_H
#define OW_SHARDING_SHARD_TAG_H

#include "sharding/sharding_settings.h"

#include <stdint.h>

/** How many bits the core's tag may have. */
enum { OW_SHARD_TAG_BITS = 48 };
/** The index that requests of the shard manager itself carry in place of a shard's. */
enum { OW_SHARD_TAG_MANAGER = OW_SHARDS_MAX };

/** The tag that is sent with a request of the shard with this index, whose core gave it the tag `tag`; the
 * reply carries the same tag. */
static inline uint64_t ow_shard_tag_make(unsigned index, uint64_t tag)
{
    return tag | (uint64_t)index << OW_SHARD_TAG_BITS;
}

/** The index of the shard whose request this tag names, or OW_SHARD_TAG_MANAGER. */
static inline uint64_t ow_shard_tag_index(uint64_t tag)
{
    return tag >> OW_SHARD_TAG_BITS;
}

/** The tag that the shard's core gave its request. */
static inline uint64_t ow_shard_tag_strip(uint64_t tag)
{
    return tag & (((uint64_t)1 << OW_SHARD_TAG_BITS) - 1);
}

#endif

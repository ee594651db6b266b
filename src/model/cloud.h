/** @file
 * Machine types, the list of instances, and the requests to the cloud with their replies. Plain data.
 */
#ifndef OW_MODEL_CLOUD_H
#define OW_MODEL_CLOUD_H

#include "model/resources.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Maximum number of machine types: the core stores sets of types as bits of a 64-bit number. */
enum { OW_MAX_TYPES = 64 };

/** A machine type that the cloud offers. It owns its name and zones. */
struct ow_machine_type {
    char *name;
    struct ow_resources size; /**< of one machine */
    double cache_gb;          /**< room for images */
    double fetch_gb_per_s;    /**< rate at which a machine fetches images, all of them together */
    double price;             /**< per machine and hour, ordinary */
    double spot_price;        /**< the same as a spot instance */
    double boot_s;            /**< from provisioning to the first heartbeat, typically */
    char **zones;             /**< where it is offered, ended by NULL; NULL: not specified */
};

/** Frees what a struct ow_machine_type holds, not the struct: the clear function of arrays of them. */
void ow_machine_type_clear(void *type);

/** The state of an instance in the cloud's list. */
enum ow_listed_state {
    OW_LISTED_ABSENT, /**< it is not in the list, or no list has come yet */
    OW_LISTED_BOOTING,
    OW_LISTED_RUNNING,
    OW_LISTED_FAILED,
};

/** An instance in the cloud's list. It owns its texts; none is NULL. */
struct ow_listed_machine {
    char *name;
    char *addr; /**< host:port of its agent; empty while unknown */
    char *type;
    char *zone;
    bool spot;
    enum ow_listed_state state;
    double age_s; /**< since it was provisioned */
};

/** Frees what a struct ow_listed_machine holds, not the struct: the clear function of arrays of them. */
void ow_listed_machine_clear(void *machine);

/** The operations of the cloud API. */
enum ow_cloud_op { OW_CLOUD_TYPES, OW_CLOUD_LIST, OW_CLOUD_PROVISION, OW_CLOUD_TERMINATE };

/** A request to the cloud. It owns its texts and lists; those of other operations are NULL or 0. */
struct ow_cloud_request {
    enum ow_cloud_op op;
    uint64_t tag; /**< comes back in the reply */
    /* OW_CLOUD_LIST */
    char *after; /**< begin after the machine of this name; NULL or empty: at the first */
    /* OW_CLOUD_PROVISION */
    char *name; /**< name of the request, by which the cloud recognizes a retry */
    char *type;
    char *zone;
    bool spot;
    unsigned count; /**< machines wanted */
    /* OW_CLOUD_TERMINATE */
    GPtrArray *machines; /**< names, char * */
};

/** Frees a request with all that it holds. @param request may be NULL */
void ow_cloud_request_free(struct ow_cloud_request *request);

/** Lets GLib free it: g_autoptr(ow_cloud_request), or g_auto(ow_cloud_request). */
typedef struct ow_cloud_request ow_cloud_request;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_cloud_request, ow_cloud_request_free)

/** The cloud's reply. It owns its lists; those of other operations, and those that can't be read, are NULL.
 */
struct ow_cloud_reply {
    uint64_t tag;       /**< of the request */
    int status;         /**< HTTP status; 0: no response, so the request may have been carried out */
    GArray *types;      /**< OW_CLOUD_TYPES: struct ow_machine_type */
    GArray *listed;     /**< OW_CLOUD_LIST: struct ow_listed_machine */
    bool has_more;      /**< OW_CLOUD_LIST: there is another page */
    char **provisioned; /**< OW_CLOUD_PROVISION: names of the new machines, ended by NULL */
};

/** Frees what a reply holds, not the struct. */
void ow_cloud_reply_clear(struct ow_cloud_reply *reply);

#endif

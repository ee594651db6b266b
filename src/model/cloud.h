/** @file
 * Machine types, the list of instances, and requests to the cloud API with their replies. Plain data.
 */
#ifndef OW_MODEL_CLOUD_H
#define OW_MODEL_CLOUD_H

#include "model/resources.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A machine type that the cloud offers. It owns its name and its zones. */
struct ow_machine_type {
    char *name;
    struct ow_resources size; /**< of one machine */
    double cache_gb;          /**< size of the image cache */
    double fetch_gb_per_s;    /**< total rate at which a machine fetches images */
    double price;             /**< of an ordinary instance, per hour */
    double spot_price;        /**< of a spot instance, per hour */
    double boot_s;            /**< typical time from provisioning to the first heartbeat */
    char **zones;             /**< where it is offered, NULL-terminated; NULL if unspecified */
};

/** Frees the members of a struct ow_machine_type, not the struct itself. A GDestroyNotify for arrays. */
void ow_machine_type_clear(void *type);

/** The state of an instance in the cloud's list. */
enum ow_listed_state {
    OW_LISTED_ABSENT, /**< it is not in the list, or no list has been received */
    OW_LISTED_BOOTING,
    OW_LISTED_RUNNING,
    OW_LISTED_FAILED,
};

/** An instance in the cloud's list. It owns its strings; none is NULL. */
struct ow_listed_machine {
    char *name;
    char *addr; /**< host:port of its agent; empty while unknown */
    char *type;
    char *zone;
    bool spot;
    enum ow_listed_state state;
    double age_s; /**< time since it was provisioned */
};

/** Frees the members of a struct ow_listed_machine, not the struct itself. A GDestroyNotify for arrays. */
void ow_listed_machine_clear(void *machine);

/** The operations of the cloud API. */
enum ow_cloud_op {
    OW_CLOUD_TYPES,     /**< list the machine types */
    OW_CLOUD_LIST,      /**< list a page of the instances */
    OW_CLOUD_PROVISION, /**< provision machines of one type in one zone */
    OW_CLOUD_TERMINATE, /**< terminate machines by name */
};

/** A request to the cloud. It owns its strings and lists. Fields of other operations are NULL or 0. */
struct ow_cloud_request {
    enum ow_cloud_op op;
    uint64_t tag; /**< returned in the reply */
    /* OW_CLOUD_LIST */
    char *after; /**< list machines after this name; NULL or empty: from the first */
    /* OW_CLOUD_PROVISION */
    char *name; /**< id of the request, by which the cloud recognizes a retry */
    char *type;
    char *zone;
    bool spot;
    unsigned count; /**< number of machines to provision */
    /* OW_CLOUD_TERMINATE */
    GPtrArray *machines; /**< names, char * */
};

/** Frees a request and its members. @param request may be NULL */
void ow_cloud_request_free(struct ow_cloud_request *request);

/** Enables g_autoptr(ow_cloud_request). */
typedef struct ow_cloud_request ow_cloud_request;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_cloud_request, ow_cloud_request_free)

/** A reply of the cloud. It owns its lists; those of other operations and malformed ones are NULL. */
struct ow_cloud_reply {
    uint64_t tag;       /**< of the request */
    int status;         /**< HTTP status; 0: no response, the request may have been carried out */
    GArray *types;      /**< OW_CLOUD_TYPES: struct ow_machine_type */
    GArray *listed;     /**< OW_CLOUD_LIST: struct ow_listed_machine */
    bool has_more;      /**< OW_CLOUD_LIST: there is another page */
    char **provisioned; /**< OW_CLOUD_PROVISION: names of the new machines, NULL-terminated */
};

/** Frees the members of a reply, not the struct itself. */
void ow_cloud_reply_clear(struct ow_cloud_reply *reply);

#endif

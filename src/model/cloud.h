/* Machine types, the list of instances, and the requests to the cloud with their replies. */
#ifndef OW_MODEL_CLOUD_H
#define OW_MODEL_CLOUD_H

#include "model/resources.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { OW_MAX_TYPES = 64 };

struct ow_machine_type {
    char *name;
    struct ow_resources size;
    double cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
    char **zones;
};

void ow_machine_type_clear(void *type);

enum ow_listed { OW_LISTED_NOT, OW_LISTED_BOOTING, OW_LISTED_RUNNING, OW_LISTED_FAILED };

struct ow_listed_machine {
    char *name, *addr, *type, *zone;
    bool spot;
    enum ow_listed state;
    double age_s;
};

void ow_listed_machine_clear(void *machine);

struct ow_cloud_request {
    enum { OW_CLOUD_TYPES, OW_CLOUD_LIST, OW_CLOUD_PROVISION, OW_CLOUD_TERMINATE } op;
    uint64_t tag;
    char *after;              /* list */
    char *name, *type, *zone; /* rent */
    bool spot;
    unsigned count;
    GPtrArray *machines; /* delete: names */
};

struct ow_cloud_reply {
    uint64_t tag;
    int status;
    GArray *types;  /* of OW_CLOUD_TYPES */
    GArray *listed; /* of OW_CLOUD_LIST */
    bool more;
    char **provisioned; /* of OW_CLOUD_PROVISION */
};

void ow_cloud_request_free(struct ow_cloud_request *request);
void ow_cloud_reply_clear(struct ow_cloud_reply *reply);

#endif

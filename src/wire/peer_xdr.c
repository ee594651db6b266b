#include "wire/peer_xdr.h"

#include "model/peer.h"
#include "wire/peer_body.h"

#include <arpa/inet.h>
#include <string.h>

/* Encodes into a new buffer; NULL if it does not fit. */
static char *encode(xdrproc_t coder, void *value, uint32_t *size)
{
    char *buffer = g_malloc(WIRE_PEER_MAX);
    XDR xdr;
    xdrmem_create(&xdr, buffer, WIRE_PEER_MAX, XDR_ENCODE);
    bool ok = coder(&xdr, value, 0);
    *size = ok ? xdr_getpos(&xdr) : 0;
    xdr_destroy(&xdr);
    if (!ok)
        g_clear_pointer(&buffer, g_free);
    return buffer;
}

/* Encodes the body with the shard that it belongs to, replacing it; false if it does not fit. */
static bool wrap_for_shard(const struct ow_peer_message *message, char **encoded, uint32_t *size)
{
    peer_shard_message wrapped = {message->shard, (u_int)message->kind, {*size, *encoded}};
    char *outer = encode((xdrproc_t)xdr_peer_shard_message, &wrapped, size);
    g_free(*encoded);
    *encoded = outer;
    return outer != NULL;
}

bool wire_peer_encode(struct ow_peer_message *message, GString *out)
{
    union wire_peer_body body;
    uint32_t size = 0;
    u_int kind = (u_int)message->kind;
    memset(&body, 0, sizeof body);
    xdrproc_t coder = wire_peer_body_coder(message->kind);
    if (coder == NULL)
        return false;
    void *list = wire_peer_body_from_message(message, &body);
    char *encoded = encode(coder, &body, &size);
    char *whole = NULL;
    if (encoded != NULL && message->shard != NULL && wrap_for_shard(message, &encoded, &size))
        kind = PEER_SHARD_MESSAGE;
    if (encoded != NULL) {
        peer_envelope envelope = {PEER_VERSION, kind, {size, encoded}};
        whole = encode((xdrproc_t)xdr_peer_envelope, &envelope, &size);
    }
    if (whole != NULL) {
        uint32_t frame = htonl(size);
        g_string_append_len(out, (const char *)&frame, sizeof frame);
        g_string_append_len(out, whole, size);
    }
    bool ok = whole != NULL;
    g_free(whole);
    g_free(encoded);
    g_free(list);
    return ok;
}

/* What comes behind the fields that we know is a later version's and is left alone. */
static bool decode(xdrproc_t coder, const char *data, size_t size, void *value)
{
    XDR xdr;
    xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
    bool ok = coder(&xdr, value, 0);
    xdr_destroy(&xdr);
    return ok;
}

/* Reads a body of this kind: NULL and true where the kind is unknown. */
static bool decode_body(unsigned kind, const char *data, size_t size, struct ow_peer_message **message)
{
    union wire_peer_body body;
    xdrproc_t coder = wire_peer_body_coder(kind);
    memset(&body, 0, sizeof body);
    *message = NULL;
    if (coder == NULL)
        return true;
    bool ok = decode(coder, data, size, &body);
    if (ok)
        *message = wire_peer_body_to_message(kind, &body);
    xdr_free(coder, (char *)&body);
    return ok;
}

static bool decode_shard_message(const char *data, size_t size, struct ow_peer_message **message)
{
    peer_shard_message wrapped;
    memset(&wrapped, 0, sizeof wrapped);
    *message = NULL;
    bool ok = decode((xdrproc_t)xdr_peer_shard_message, data, size, &wrapped) &&
              decode_body(wrapped.kind, wrapped.body.body_val, wrapped.body.body_len, message);
    if (*message != NULL)
        (*message)->shard = g_strdup(wrapped.shard);
    xdr_free((xdrproc_t)xdr_peer_shard_message, (char *)&wrapped);
    return ok;
}

bool wire_peer_decode(const char *data, size_t size, struct ow_peer_message **message)
{
    peer_envelope envelope;
    memset(&envelope, 0, sizeof envelope);
    *message = NULL;
    bool ok = decode((xdrproc_t)xdr_peer_envelope, data, size, &envelope);
    if (ok && envelope.kind == PEER_SHARD_MESSAGE)
        ok = decode_shard_message(envelope.body.body_val, envelope.body.body_len, message);
    else if (ok)
        ok = decode_body(envelope.kind, envelope.body.body_val, envelope.body.body_len, message);
    if (*message != NULL)
        (*message)->version = envelope.format;
    xdr_free((xdrproc_t)xdr_peer_envelope, (char *)&envelope);
    return ok;
}

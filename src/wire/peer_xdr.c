#include "wire/peer_xdr.h"

#include "model/peer.h"
#include "wire/peer_body.h"

#include <arpa/inet.h>
#include <string.h>

/* ---- encoding ---- */

/* Encodes a value. Returns bytes owned by the caller, or NULL if they exceed WIRE_PEER_MAX. */
static GByteArray *encode_value(xdrproc_t coder, void *value)
{
    g_autoptr(GByteArray) bytes = g_byte_array_sized_new(WIRE_PEER_MAX);
    g_byte_array_set_size(bytes, WIRE_PEER_MAX);
    XDR xdr;
    xdrmem_create(&xdr, (char *)bytes->data, WIRE_PEER_MAX, XDR_ENCODE);
    bool fits = coder(&xdr, value, 0);
    g_byte_array_set_size(bytes, fits ? xdr_getpos(&xdr) : 0);
    xdr_destroy(&xdr);
    return fits ? g_steal_pointer(&bytes) : NULL;
}

static GByteArray *encode_body(xdrproc_t coder, struct ow_peer_message *message)
{
    union wire_peer_body body;
    memset(&body, 0, sizeof body);
    void *list = wire_peer_body_from_message(message, &body);
    GByteArray *encoded = encode_value(coder, &body);
    g_free(list);
    return encoded;
}

/* Wraps an encoded body with the name of its shard. */
static GByteArray *encode_shard_message(const struct ow_peer_message *message, const GByteArray *body)
{
    peer_shard_message wrapped = {
        .shard = message->shard,
        .kind = (u_int)message->kind,
        .body = {body->len, (char *)body->data},
    };
    return encode_value((xdrproc_t)xdr_peer_shard_message, &wrapped);
}

static GByteArray *encode_envelope(u_int kind, const GByteArray *body)
{
    peer_envelope envelope = {
        .format = PEER_VERSION,
        .kind = kind,
        .body = {body->len, (char *)body->data},
    };
    return encode_value((xdrproc_t)xdr_peer_envelope, &envelope);
}

static void append_frame(GString *out, const GByteArray *bytes)
{
    uint32_t length = htonl(bytes->len);
    g_string_append_len(out, (const char *)&length, sizeof length);
    g_string_append_len(out, (const char *)bytes->data, bytes->len);
}

bool wire_peer_encode(struct ow_peer_message *message, GString *out)
{
    xdrproc_t coder = wire_peer_body_coder(message->kind);
    if (coder == NULL)
        return false;
    u_int kind = (u_int)message->kind;
    g_autoptr(GByteArray) body = encode_body(coder, message);
    if (body != NULL && message->shard != NULL) {
        GByteArray *wrapped = encode_shard_message(message, body);
        g_byte_array_unref(body);
        body = wrapped;
        kind = PEER_SHARD_MESSAGE;
    }
    g_autoptr(GByteArray) whole = body != NULL ? encode_envelope(kind, body) : NULL;
    if (whole == NULL)
        return false;
    append_frame(out, whole);
    return true;
}

/* ---- decoding ---- */

/* Decodes a value, which the caller must free with xdr_free() even on failure. Bytes after the known fields
   come from a later version and are ignored. */
static bool decode_value(xdrproc_t coder, const char *data, size_t size, void *value)
{
    XDR xdr;
    xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
    bool is_valid = coder(&xdr, value, 0);
    xdr_destroy(&xdr);
    return is_valid;
}

/* Decodes a body of this kind. If the kind is unknown, returns true and leaves *message NULL. */
static bool decode_body(unsigned kind, const char *data, size_t size, struct ow_peer_message **message)
{
    xdrproc_t coder = wire_peer_body_coder(kind);
    if (coder == NULL)
        return true;
    union wire_peer_body body;
    memset(&body, 0, sizeof body);
    bool is_valid = decode_value(coder, data, size, &body);
    if (is_valid)
        *message = wire_peer_body_to_message(kind, &body);
    xdr_free(coder, (char *)&body);
    return is_valid;
}

static bool decode_shard_message(const char *data, size_t size, struct ow_peer_message **message)
{
    peer_shard_message wrapped;
    memset(&wrapped, 0, sizeof wrapped);
    bool is_valid = decode_value((xdrproc_t)xdr_peer_shard_message, data, size, &wrapped) &&
                    decode_body(wrapped.kind, wrapped.body.body_val, wrapped.body.body_len, message);
    if (*message != NULL)
        (*message)->shard = g_strdup(wrapped.shard);
    xdr_free((xdrproc_t)xdr_peer_shard_message, (char *)&wrapped);
    return is_valid;
}

bool wire_peer_decode(const char *data, size_t size, struct ow_peer_message **message)
{
    peer_envelope envelope;
    memset(&envelope, 0, sizeof envelope);
    *message = NULL;
    bool is_valid = decode_value((xdrproc_t)xdr_peer_envelope, data, size, &envelope);
    if (is_valid && envelope.kind == PEER_SHARD_MESSAGE)
        is_valid = decode_shard_message(envelope.body.body_val, envelope.body.body_len, message);
    else if (is_valid)
        is_valid = decode_body(envelope.kind, envelope.body.body_val, envelope.body.body_len, message);
    if (*message != NULL)
        (*message)->version = envelope.format;
    xdr_free((xdrproc_t)xdr_peer_envelope, (char *)&envelope);
    return is_valid;
}

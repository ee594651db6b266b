/* An incremental, bounded HTTP/1.1 message parser for both sides. It copies what it keeps. */
#ifndef OW_IO_HTTP_PARSE_H
#define OW_IO_HTTP_PARSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* Which messages are read. */
enum ow_http_side { OW_HTTP_REQUEST, OW_HTTP_RESPONSE };

/* What the bytes so far amount to. */
enum ow_http_result {
    OW_HTTP_MORE,      /* the message is not complete */
    OW_HTTP_DONE,      /* one whole message is there */
    OW_HTTP_MALFORMED, /* answer 400 and close */
    OW_HTTP_TOO_LARGE, /* answer 413 and close */
};

/* Where in a message the parser is. */
enum ow_http_phase {
    OW_HTTP_PHASE_START,
    OW_HTTP_PHASE_HEADERS,
    OW_HTTP_PHASE_BODY,
    OW_HTTP_PHASE_CHUNK_SIZE,
    OW_HTTP_PHASE_CHUNK_DATA,
    OW_HTTP_PHASE_CHUNK_END,
    OW_HTTP_PHASE_TRAILERS,
};

struct ow_http_parser {
    enum ow_http_side side;
    size_t body_limit; /* 0: none */
    enum ow_http_phase phase;
    GString *line;     /* the line at hand, as far as it has come */
    size_t head_bytes; /* of the head so far */
    size_t left;       /* bytes to come of the body or of the chunk at hand */
    bool has_length;
    bool chunked;
    /* The message. */
    char method[16];
    GString *target;
    int status;
    int minor;  /* of the HTTP version: 1.0 or 1.1 */
    bool close; /* the sender closes the connection after it */
    GString *body;
};

/* `body_limit` bounds the bytes of a body; 0: unbounded. */
void ow_http_parser_init(struct ow_http_parser *parser, enum ow_http_side side, size_t body_limit);
/* Makes it ready for the next message on the same connection. */
void ow_http_parser_reset(struct ow_http_parser *parser);
/* Frees what it holds, not the parser itself. */
void ow_http_parser_clear(struct ow_http_parser *parser);
/* Takes bytes up to the end of one message; *used tells how many. */
enum ow_http_result ow_http_parse(struct ow_http_parser *parser, const char *data, size_t size, size_t *used);

#endif

/* An incremental, bounded HTTP/1.1 message parser for both sides. It copies what it keeps. */
#ifndef OW_IO_HTTP_PARSE_H
#define OW_IO_HTTP_PARSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

enum ow_http_side { OW_HTTP_REQUEST, OW_HTTP_RESPONSE };

enum ow_http_result {
    OW_HTTP_MORE,      /* the message is not complete */
    OW_HTTP_DONE,      /* one whole message is there */
    OW_HTTP_MALFORMED, /* answer 400 and close */
    OW_HTTP_TOO_LARGE, /* answer 413 and close */
};

struct ow_http_parser {
    enum ow_http_side side;
    size_t body_limit; /* 0: none */
    int phase;
    GString *line;
    size_t head_bytes;
    size_t left; /* of the body or of the chunk at hand */
    bool has_length;
    bool chunked;
    /* The message. */
    char method[16];
    GString *target;
    int status;
    int minor;
    bool close;
    GString *body;
};

void ow_http_parser_init(struct ow_http_parser *p, enum ow_http_side side, size_t body_limit);
/* Makes it ready for the next message on the same connection. */
void ow_http_parser_reset(struct ow_http_parser *p);
void ow_http_parser_clear(struct ow_http_parser *p);
/* Takes bytes up to the end of one message; *used tells how many. */
enum ow_http_result ow_http_parse(struct ow_http_parser *p, const char *data, size_t size, size_t *used);

#endif

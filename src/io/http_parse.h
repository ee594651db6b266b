/** @file
 * An incremental, bounded HTTP/1.1 message parser for both sides. It copies what it keeps.
 *
 * Bounds: a line has at most 8 KiB, a head at most 16 KiB, a body as many bytes as it was initialized with.
 * Ambiguous lengths (two of them, or one beside chunks) are malformed, for two readers could see different
 * messages in them.
 *
 * Phases, for a message with a length, with chunks, and without a body:
 *
 *     START --first line--> HEADERS --empty line--> BODY --all bytes--> (done)
 *     START --first line--> HEADERS --empty line--> CHUNK_SIZE
 *         CHUNK_SIZE --a size--> CHUNK_DATA --all bytes--> CHUNK_END --empty line--> CHUNK_SIZE
 *         CHUNK_SIZE --size 0--> TRAILERS --empty line--> (done)
 *     START --first line--> HEADERS --empty line--> (done)
 *     HEADERS --empty line after an informational response (1xx)--> START
 *
 * After (done), or after an error, nothing may be parsed before ow_http_parser_reset. */
#ifndef OW_IO_HTTP_PARSE_H
#define OW_IO_HTTP_PARSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** Which messages are read. */
enum ow_http_side { OW_HTTP_REQUEST, OW_HTTP_RESPONSE };

/** What the bytes so far amount to. */
enum ow_http_result {
    OW_HTTP_MORE,      /**< the message is not complete */
    OW_HTTP_DONE,      /**< one whole message is there */
    OW_HTTP_MALFORMED, /**< to be answered with 400, and the connection closed */
    OW_HTTP_TOO_LARGE, /**< to be answered with 413, and the connection closed */
};

/** Where in a message the parser is: what the next bytes are. */
enum ow_http_phase {
    OW_HTTP_PHASE_START,      /**< the first line, or a stray empty line before it */
    OW_HTTP_PHASE_HEADERS,    /**< header lines, or the empty line that ends them */
    OW_HTTP_PHASE_BODY,       /**< bytes of a body whose length is known */
    OW_HTTP_PHASE_CHUNK_SIZE, /**< the line before a chunk */
    OW_HTTP_PHASE_CHUNK_DATA, /**< bytes of a chunk */
    OW_HTTP_PHASE_CHUNK_END,  /**< the empty line behind a chunk's bytes */
    OW_HTTP_PHASE_TRAILERS,   /**< lines behind the last chunk, which are ignored, or the empty line that ends
                                 them */
};

enum { OW_HTTP_METHOD_BYTES = 16 };

/** The parser with the message that it has read so far. */
struct ow_http_parser {
    enum ow_http_side side;
    size_t body_limit_bytes;
    enum ow_http_phase phase;
    GString *line;     /**< the current line, as far as received */
    size_t head_bytes; /**< of the head so far, line ends included */
    size_t body_left;  /**< bytes still to come of the body or of the current chunk */
    bool has_length;   /**< a Content-Length was there */
    bool is_chunked;   /**< a Transfer-Encoding was there */
    /* The message. */
    char method[OW_HTTP_METHOD_BYTES]; /**< of a request */
    GString *target;                   /**< of a request: path and query */
    int status;                        /**< of a response */
    bool close;                        /**< the sender closes the connection after it */
    GString *body;
};

/** Makes the parser ready for a first message.
 * @param parser the caller's; to be cleared
 * @param side which messages it reads
 * @param body_limit_bytes of a body at most */
void ow_http_parser_init(struct ow_http_parser *parser, enum ow_http_side side, size_t body_limit_bytes);
/** Makes it ready for the next message on the same connection. Large buffers are given back. */
void ow_http_parser_reset(struct ow_http_parser *parser);
/** Frees what it holds, not the parser itself. */
void ow_http_parser_clear(struct ow_http_parser *parser);
/** Takes bytes up to the end of one message.
 * @param parser holds the message once it is done
 * @param data the bytes that came
 * @param size how many they are
 * @param used how many of them were taken; those behind it belong to the next message */
enum ow_http_result ow_http_parse(struct ow_http_parser *parser, const char *data, size_t size, size_t *used);

#endif

/** @file
 * An incremental HTTP/1.1 message parser with bounded memory, for requests and responses. It copies what it
 * keeps.
 *
 * Limits: 8 KiB for a line, 16 KiB for the head, and body_limit_bytes for a body. Ambiguous framing (two
 * Content-Length headers, or one together with chunked encoding) is malformed, because two implementations
 * could disagree on where the message ends (request smuggling).
 *
 * Phases, for a message with a Content-Length, with chunked encoding, and without a body:
 *
 *     START --first line--> HEADERS --empty line--> BODY --all bytes--> (done)
 *     START --first line--> HEADERS --empty line--> CHUNK_SIZE
 *         CHUNK_SIZE --a size--> CHUNK_DATA --all bytes--> CHUNK_END --empty line--> CHUNK_SIZE
 *         CHUNK_SIZE --size 0--> TRAILERS --empty line--> (done)
 *     START --first line--> HEADERS --empty line--> (done)
 *     HEADERS --empty line after an informational response (1xx)--> START
 *
 * After (done) or an error, ow_http_parser_reset must be called before parsing continues. */
#ifndef OW_IO_HTTP_PARSE_H
#define OW_IO_HTTP_PARSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** Which kind of message a parser reads. */
enum ow_http_side { OW_HTTP_REQUEST, OW_HTTP_RESPONSE };

/** Result of parsing the bytes received so far. */
enum ow_http_result {
    OW_HTTP_MORE,      /**< the message is incomplete */
    OW_HTTP_DONE,      /**< one message is complete */
    OW_HTTP_MALFORMED, /**< respond with 400 and close the connection */
    OW_HTTP_TOO_LARGE, /**< respond with 413 and close the connection */
};

/** Position of the parser in a message: what the next bytes are. */
enum ow_http_phase {
    OW_HTTP_PHASE_START,      /**< the first line, or empty lines before it */
    OW_HTTP_PHASE_HEADERS,    /**< header lines, up to the empty line that ends them */
    OW_HTTP_PHASE_BODY,       /**< bytes of a body with a Content-Length */
    OW_HTTP_PHASE_CHUNK_SIZE, /**< the size line before a chunk */
    OW_HTTP_PHASE_CHUNK_DATA, /**< bytes of a chunk */
    OW_HTTP_PHASE_CHUNK_END,  /**< the empty line after the bytes of a chunk */
    OW_HTTP_PHASE_TRAILERS,   /**< lines after the last chunk, which are ignored, up to an empty line */
};

/** Size of the method buffer, including the NUL. */
enum { OW_HTTP_METHOD_BYTES = 16 };

/** A parser and the message that it has read so far. */
struct ow_http_parser {
    enum ow_http_side side;
    size_t body_limit_bytes;
    enum ow_http_phase phase;
    GString *line;         /**< received part of the current line */
    size_t head_bytes;     /**< size of the head so far, including line endings */
    size_t body_remaining; /**< bytes of the body or the current chunk that have not been received */
    bool has_length;       /**< there is a Content-Length header */
    bool is_chunked;       /**< there is a Transfer-Encoding: chunked header */
    /* The message. */
    char method[OW_HTTP_METHOD_BYTES]; /**< of a request */
    GString *target;                   /**< of a request: path and query */
    int status;                        /**< of a response */
    bool close;                        /**< the sender closes the connection after the message */
    GString *body;
};

/** Initializes a parser.
 * @param parser the caller clears it with ow_http_parser_clear()
 * @param side which kind of message it reads
 * @param body_limit_bytes maximum size of a body */
void ow_http_parser_init(struct ow_http_parser *parser, enum ow_http_side side, size_t body_limit_bytes);
/** Prepares the parser for the next message on the same connection. Frees large buffers. */
void ow_http_parser_reset(struct ow_http_parser *parser);
/** Frees the buffers of the parser, not the parser itself. */
void ow_http_parser_clear(struct ow_http_parser *parser);
/** Parses bytes up to the end of one message.
 * @param parser holds the message when OW_HTTP_DONE is returned
 * @param data the received bytes
 * @param size of `data`, in bytes
 * @param used set to the number of bytes consumed; the others belong to the next message */
enum ow_http_result ow_http_parse(struct ow_http_parser *parser, const char *data, size_t size, size_t *used);

#endif

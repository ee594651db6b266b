#include "wire/http_request.h"

void wire_http_request_clear(struct wire_http_request *request)
{
    g_clear_pointer(&request->path, g_free);
    g_clear_pointer(&request->body, g_free);
}

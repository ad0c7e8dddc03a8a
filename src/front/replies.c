#include "front/responses.h"

#include <apr_strings.h>
#include <string.h>

#include "codec/json.h"

enum { kMaxLocationBytes = kJobIdTextBytes + 16 };

static enum MHD_Result
send_response(struct MHD_Connection *connection, uint32_t status,
              struct MHD_Response *response, bool closes_connection)
{
    if (closes_connection) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static struct MHD_Response *
create_json_response(const char *text)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            "application/json");
    return response;
}

/// Adds the headers that tell whether the job did not run and when to retry,
/// and the id for the next job.
static void
add_result_headers(struct MHD_Response *response, const call_t *call)
{
    char text[kJobIdTextBytes];
    if (call->answer.not_run) {
        MHD_add_response_header(response, "Jt-Not-Run", "1");
    }
    if (error_answers[call->answer.kind].retry) {
        uint32_t retry_after_s = (call->answer.retry_after_ms + 999) / 1000;
        apr_snprintf(text, sizeof text, "%u",
                     retry_after_s > 0 ? retry_after_s : 1);
        MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, text);
    }
    if (call->has_next_id) {
        job_id_format(&call->next_id, text);
        MHD_add_response_header(response, "Jt-Next-Job", text);
    }
}

enum MHD_Result
responses_send_answer(struct MHD_Connection *connection, call_t *call,
                      bool closes_connection)
{
    struct MHD_Response *response = create_json_response(
        json_write(&job_answer_desc, &call->answer, call->arena));
    add_result_headers(response, call);
    return send_response(connection,
                         error_answers[call->answer.kind].http_status,
                         response, closes_connection);
}

enum MHD_Result
responses_send_redirect(struct MHD_Connection *connection, call_t *call,
                        bool closes_connection)
{
    char id[kJobIdTextBytes];
    char location[kMaxLocationBytes];
    job_id_format(&call->ids[0], id);
    apr_snprintf(location, sizeof location, "/v1/jobs/%s", id);
    struct MHD_Response *response = create_json_response("");
    MHD_add_response_header(response, MHD_HTTP_HEADER_LOCATION, location);
    return send_response(connection, MHD_HTTP_TEMPORARY_REDIRECT, response,
                         closes_connection);
}

enum MHD_Result
responses_send_ids(struct MHD_Connection *connection, call_t *call,
                   bool closes_connection)
{
    ids_document_t document = {
        .start_by_ms = call->left_ms,
        .ids = apr_palloc(call->arena, call->count * sizeof(id_document_t)),
        .ids_count = call->count};
    for (uint32_t i = 0; i < call->count; i++) {
        char *text = apr_palloc(call->arena, kJobIdTextBytes);
        job_id_format(&call->ids[i], text);
        document.ids[i].id = text;
    }
    return send_response(connection, MHD_HTTP_OK,
                         create_json_response(json_write(
                             &ids_document_desc, &document, call->arena)),
                         closes_connection);
}

enum MHD_Result
responses_send_health(struct MHD_Connection *connection, bool is_serving)
{
    return send_response(
        connection, is_serving ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
        create_json_response(is_serving ? "{\"state\":\"serving\"}"
                                        : "{\"state\":\"not serving\"}"),
        !is_serving);
}

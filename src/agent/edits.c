#include "agent/edits.h"

#include <apr_hash.h>
#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "agent/platform.h"
#include "codec/pack.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum { kMaxEditResults = 4096 };

static void
send_result(session_t *session, uint64_t request,
            const config_result_message_t *result)
{
    config_result_message_t copy = *result;
    copy.request = request;
    conn_send(session->conn, kMessageConfigResult, &copy);
}

static void
finish_edit(pending_edit_t *edit, const config_result_message_t *result)
{
    for (pending_edit_t **at = &edit->agent->pending_edits; *at != NULL;
         at = &(*at)->next) {
        if (*at == edit) {
            *at = edit->next;
            break;
        }
    }
    if (edit->session != NULL) {
        send_result(edit->session, edit->request, result);
    }
    arena_destroy(edit->arena);
}

static void
fail_edit(pending_edit_t *edit, error_kind_t kind)
{
    config_result_message_t result = {.kind = kind,
                                      .reason = error_answers[kind].text};
    finish_edit(edit, &result);
}

static pending_edit_t *
find_pending_edit(agent_t *agent, const char *edit_id)
{
    pending_edit_t *edit = agent->pending_edits;
    while (edit != NULL && strcmp(edit->edit_id, edit_id) != 0) {
        edit = edit->next;
    }
    return edit;
}

/// Fails an edit at once only if its request was certainly not sent. In any
/// other case the edit may have been written, and the log is read to find out.
static void
on_appended(agent_t *agent, const char *edit_id, http_outcome_t end)
{
    pending_edit_t *edit = find_pending_edit(agent, edit_id);
    if (end == kHttpOutcomeNotSent && edit != NULL) {
        platform_record_state(agent, false);
        fail_edit(edit, kErrorKindPlatformDown);
        return;
    }
    platform_read_log(agent);
}

void
edits_handle_put(session_t *session, bytes_t body, arena_t *arena)
{
    (void)arena;
    agent_t *agent = session->agent;
    config_put_message_t message;
    error_info_t err = {0};
    arena_t *edit_arena = arena_create();
    if (!pack_read_message(body, &config_put_message_desc, edit_arena,
                           &message, &err)) {
        conn_close(session->conn);
        arena_destroy(edit_arena);
        return;
    }
    config_result_message_t *known = apr_hash_get(
        agent->edit_results, message.edit_id, APR_HASH_KEY_STRING);
    if (known != NULL) {
        send_result(session, message.request, known);
        arena_destroy(edit_arena);
        return;
    }
    log_record_t record = {.section = message.section,
                           .base = message.base,
                           .edit_id = message.edit_id,
                           .text = message.text};
    pending_edit_t *edit = apr_pcalloc(edit_arena, sizeof *edit);
    *edit =
        (pending_edit_t){.agent = agent,
                         .next = agent->pending_edits,
                         .session = session,
                         .arena = edit_arena,
                         .request = message.request,
                         .edit_id = message.edit_id,
                         .deadline_ns = clock_deadline_ns(
                             (uint64_t)agent->settings->request_limit_ms * 2)};
    agent->pending_edits = edit;
    platform_append(agent, &record, on_appended);
}

void
edits_record_result(agent_t *agent, const char *edit_id, error_kind_t kind,
                    uint64_t offset, const char *reason)
{
    if (edit_id[0] == '\0' || apr_hash_get(agent->edit_results, edit_id,
                                           APR_HASH_KEY_STRING) != NULL) {
        return;
    }
    if (apr_hash_count(agent->edit_results) >= kMaxEditResults) {
        apr_hash_clear(agent->edit_results);
        apr_pool_clear(agent->arena);
        agent->edit_results = apr_hash_make(agent->arena);
    }
    config_result_message_t *result = apr_palloc(agent->arena, sizeof *result);
    *result =
        (config_result_message_t){.kind = kind,
                                  .offset = offset,
                                  .reason = apr_pstrdup(agent->arena, reason)};
    apr_hash_set(agent->edit_results, apr_pstrdup(agent->arena, edit_id),
                 APR_HASH_KEY_STRING, result);
    pending_edit_t *edit = find_pending_edit(agent, edit_id);
    if (edit != NULL) {
        finish_edit(edit, result);
    }
}

void
edits_expire_pending(agent_t *agent)
{
    int64_t now_ns = clock_now_ns();
    pending_edit_t *edit = agent->pending_edits;
    while (edit != NULL) {
        pending_edit_t *next = edit->next;
        if (edit->deadline_ns <= now_ns) {
            fail_edit(edit, kErrorKindConfigUnknown);
        }
        edit = next;
    }
}

void
edits_detach_session(agent_t *agent, const session_t *session)
{
    for (pending_edit_t *edit = agent->pending_edits; edit != NULL;
         edit = edit->next) {
        if (edit->session == session) {
            edit->session = NULL;
        }
    }
}

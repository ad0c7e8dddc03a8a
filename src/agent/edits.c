#include "agent/edits.h"

#include <apr_hash.h>
#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "agent/platform.h"
#include "codec/pack.h"
#include "runtime/clock.h"
#include "runtime/log.h"

enum { kVerdictLimit = 4096 };

static void
send_result(session_t *session, uint64_t request,
            const config_result_message_t *result)
{
    config_result_message_t copy = *result;
    copy.request = request;
    conn_send(session->conn, kMessageConfigResult, &copy);
}

static void
end_put(put_t *put, const config_result_message_t *result)
{
    for (put_t **at = &put->agent->puts; *at != NULL; at = &(*at)->next) {
        if (*at == put) {
            *at = put->next;
            break;
        }
    }
    if (put->session != NULL) {
        send_result(put->session, put->request, result);
    }
    arena_destroy(put->arena);
}

static void
fail_put(put_t *put, error_kind_t kind)
{
    config_result_message_t result = {.kind = kind,
                                      .reason = error_answers[kind].text};
    end_put(put, &result);
}

static put_t *
find_put(agent_t *agent, const char *edit_id)
{
    put_t *put = agent->puts;
    while (put != NULL && strcmp(put->edit_id, edit_id) != 0) {
        put = put->next;
    }
    return put;
}

/// Only a request that was proved not sent is proved not written; all else
/// is looked up in the log.
static void
on_appended(agent_t *agent, const char *edit_id, http_outcome_t end)
{
    put_t *put = find_put(agent, edit_id);
    if (end == kHttpOutcomeNotSent && put != NULL) {
        platform_note(agent, false);
        fail_put(put, kErrorKindPlatformDown);
        return;
    }
    platform_read_log(agent);
}

void
edits_take_put(session_t *session, bytes_t body, arena_t *arena)
{
    (void)arena;
    agent_t *agent = session->agent;
    config_put_message_t message;
    error_info_t err = {0};
    arena_t *own = arena_create();
    if (!pack_read_message(body, &config_put_message_desc, own, &message,
                           &err)) {
        conn_close(session->conn);
        arena_destroy(own);
        return;
    }
    config_result_message_t *known =
        apr_hash_get(agent->verdicts, message.edit_id, APR_HASH_KEY_STRING);
    if (known != NULL) {
        send_result(session, message.request, known);
        arena_destroy(own);
        return;
    }
    log_record_t record = {.section = message.section,
                           .base = message.base,
                           .edit_id = message.edit_id,
                           .text = message.text};
    put_t *put = apr_pcalloc(own, sizeof *put);
    *put = (put_t){.agent = agent,
                   .next = agent->puts,
                   .session = session,
                   .arena = own,
                   .request = message.request,
                   .edit_id = message.edit_id,
                   .deadline_ns = clock_deadline_ns(
                       (uint64_t)agent->settings->request_limit_ms * 2)};
    agent->puts = put;
    platform_append(agent, &record, on_appended);
}

void
edits_note_verdict(agent_t *agent, const char *edit_id, error_kind_t kind,
                   uint64_t offset, const char *reason)
{
    if (edit_id[0] == '\0' ||
        apr_hash_get(agent->verdicts, edit_id, APR_HASH_KEY_STRING) != NULL) {
        return;
    }
    if (apr_hash_count(agent->verdicts) >= kVerdictLimit) {
        apr_hash_clear(agent->verdicts);
        apr_pool_clear(agent->arena);
        agent->verdicts = apr_hash_make(agent->arena);
    }
    config_result_message_t *result = apr_palloc(agent->arena, sizeof *result);
    *result =
        (config_result_message_t){.kind = kind,
                                  .offset = offset,
                                  .reason = apr_pstrdup(agent->arena, reason)};
    apr_hash_set(agent->verdicts, apr_pstrdup(agent->arena, edit_id),
                 APR_HASH_KEY_STRING, result);
    put_t *put = find_put(agent, edit_id);
    if (put != NULL) {
        end_put(put, result);
    }
}

void
edits_expire(agent_t *agent)
{
    int64_t now_ns = clock_now_ns();
    put_t *put = agent->puts;
    while (put != NULL) {
        put_t *next = put->next;
        if (put->deadline_ns <= now_ns) {
            fail_put(put, kErrorKindConfigUnknown);
        }
        put = next;
    }
}

void
edits_forget_session(agent_t *agent, const session_t *session)
{
    for (put_t *put = agent->puts; put != NULL; put = put->next) {
        if (put->session == session) {
            put->session = NULL;
        }
    }
}

/// Tests of codec/pack, codec/bounds and codec/json: encoded data decodes to
/// the same values; truncated or altered data is rejected without a crash.
#include <apr_general.h>
#include <string.h>

#include "base/rng.h"
#include "codec/bounds.h"
#include "codec/json.h"
#include "codec/pack.h"
#include "generated/messages.h"
#include "generated/settings.h"
#include "support/suite.h"

enum { kMutationCount = 20000, kMaxBytes = 512 };

static submit_message_t
make_submit(task_document_t *tasks)
{
    tasks[0] = (task_document_t){
        .kind = "quote",
        .needs = {.processors = 2, .memory_mb = 3},
        .idempotent = true,
        .payload = {.data = (const uint8_t *)"p\0q", .size_bytes = 3}};
    return (submit_message_t){
        .request = 9,
        .id = {.data = (const uint8_t *)"id", .size_bytes = 2},
        .left_ms = 70000,
        .job = {.team = "counter", .tasks = tasks, .tasks_count = 1}};
}

static void
test_message_round_trip(void)
{
    arena_t *arena = arena_create();
    msgpack_sbuffer out;
    error_info_t err = {0};
    task_document_t tasks[1];
    submit_message_t message = make_submit(tasks);
    submit_message_t decoded;
    msgpack_sbuffer_init(&out);
    pack_write_message(&out, kMessageSubmit, &submit_message_desc, &message);
    bytes_t data = {.data = (uint8_t *)out.data,
                    .size_bytes = (uint32_t)out.size};
    CU_ASSERT_EQUAL(pack_peek_type(data), kMessageSubmit);
    CU_ASSERT_TRUE_FATAL(
        pack_read_message(data, &submit_message_desc, arena, &decoded, &err));
    CU_ASSERT_EQUAL(decoded.left_ms, 70000);
    CU_ASSERT_STRING_EQUAL(decoded.job.team, "counter");
    CU_ASSERT_EQUAL(decoded.job.tasks[0].needs.memory_mb, 3);
    CU_ASSERT_EQUAL(decoded.job.tasks[0].payload.size_bytes, 3);
    CU_ASSERT_TRUE(decoded.job.tasks[0].idempotent);
    msgpack_sbuffer_destroy(&out);
    arena_destroy(arena);
}

/// Truncates a message at random and overwrites one byte. It either decodes or
/// is rejected as a protocol error.
static void
test_altered_messages(void)
{
    rng_t rng = {.state = 1};
    task_document_t tasks[1];
    submit_message_t message = make_submit(tasks);
    msgpack_sbuffer out;
    msgpack_sbuffer_init(&out);
    pack_write_message(&out, kMessageSubmit, &submit_message_desc, &message);
    for (uint32_t i = 0; i < kMutationCount; i++) {
        uint8_t copy[kMaxBytes];
        submit_message_t decoded;
        error_info_t err = {0};
        arena_t *arena = arena_create();
        memcpy(copy, out.data, out.size);
        uint32_t size_bytes = 1 + rng_below(&rng, (uint32_t)out.size);
        copy[rng_below(&rng, size_bytes)] = (uint8_t)rng_next(&rng);
        bytes_t data = {.data = copy, .size_bytes = size_bytes};
        bool is_read = pack_read_message(data, &submit_message_desc, arena,
                                         &decoded, &err);
        CU_ASSERT_FATAL(is_read || err.kind == kErrorKindProtocol);
        arena_destroy(arena);
    }
    msgpack_sbuffer_destroy(&out);
}

/// A count that does not fit into the data is rejected before msgpack-c
/// allocates memory for it. The fuzzer found the case.
static void
test_oversized_counts(void)
{
    static const uint8_t map[] = {0xDF, 0xDF, 0xDF, 0xDF, 0xDF, 0x01};
    static const uint8_t nested[] = {0x92, 0xDD, 0x00, 0x00, 0x00, 0x05, 1, 2};
    static const uint8_t text[] = {0xDB, 0xFF, 0xFF, 0xFF, 0xFF, 'x'};
    static const uint8_t complete_array[] = {0x92, 0xDC, 0x00, 0x01,
                                             0xA1, 'x',  0xC0};
    CU_ASSERT_FALSE(bounds_check((bytes_t){map, sizeof map}));
    CU_ASSERT_FALSE(bounds_check((bytes_t){nested, sizeof nested}));
    CU_ASSERT_FALSE(bounds_check((bytes_t){text, sizeof text}));
    CU_ASSERT_FALSE(
        bounds_check((bytes_t){complete_array, sizeof complete_array - 1}));
    CU_ASSERT_TRUE(
        bounds_check((bytes_t){complete_array, sizeof complete_array}));
}

static bool
read_settings(const char *text, dispatch_settings_t *out, error_info_t *err)
{
    static arena_t *arena;
    if (arena == NULL) {
        arena = arena_create();
    }
    bytes_t bytes = {.data = (const uint8_t *)text,
                     .size_bytes = (uint32_t)strlen(text)};
    return json_read(bytes, &dispatch_settings_desc, kErrorKindBadSettings,
                     arena, out, err);
}

static void
test_settings(void)
{
    dispatch_settings_t settings;
    error_info_t err = {0};
    CU_ASSERT_TRUE_FATAL(read_settings(
        "{ // where\n\"here\": {\"dc\": 1, \"vm\": 2, \"address\": \"::\"},"
        "/* policy */ \"routing\": \"two_choices\"}",
        &settings, &err));
    CU_ASSERT_EQUAL(settings.routing, kRoutingTwoChoices);
    CU_ASSERT_EQUAL(settings.shards, 2);
}

/// JSON does not distinguish 4.0 from 4, so both are integers. Thousandths are
/// checked against their minimum too.
static void
test_numbers(void)
{
    dispatch_settings_t settings;
    node_settings_t node;
    error_info_t err = {0};
    arena_t *arena = arena_create();
    CU_ASSERT_TRUE_FATAL(
        read_settings("{\"here\": {\"dc\": 1, \"vm\": 2, \"address\": \"::\"},"
                      "\"shards\": 4.0}",
                      &settings, &err));
    CU_ASSERT_EQUAL(settings.shards, 4);
    static const char format[] =
        "{\"name\": \"n\", \"dc\": \"a\", \"dcs\": [\"a\"],"
        "\"address\": \"::\", \"callers\": \"::\", \"ready\": \"::\","
        "\"peer_port\": 1, \"metrics_port\": 2, \"store\": \"::\","
        "\"core_share\": 0.25, \"hold_limit_ms\": 1000.0,"
        "\"stop_grace_ms\": 50, \"member_ttl_ms\": 1000,"
        "\"stop_limit_s\": %s}";
    static const struct {
        const char *stop_limit_s;
        bool is_read;
        uint32_t stop_limit_ms;
    } cases[] = {{"6", true, 6000}, {"6.5", true, 6500}, {"0.5", false, 0}};
    for (uint32_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        char document[kMaxBytes];
        snprintf(document, sizeof document, format, cases[i].stop_limit_s);
        bytes_t bytes = {.data = (const uint8_t *)document,
                         .size_bytes = (uint32_t)strlen(document)};
        CU_ASSERT_EQUAL_FATAL(json_read(bytes, &node_settings_desc,
                                        kErrorKindBadSettings, arena, &node,
                                        &err),
                              cases[i].is_read);
        if (cases[i].is_read) {
            CU_ASSERT_EQUAL(node.stop_limit_ms, cases[i].stop_limit_ms);
        }
    }
    arena_destroy(arena);
}

/// Each error names the path, what was found and what was expected.
static void
test_bad_settings(void)
{
    static const char here[] =
        "{\"here\": {\"dc\": 1, \"vm\": 2, \"address\": \"a\"},";
    static const struct {
        const char *rest;
        const char *text;
    } cases[] = {
        {"\"shards\": 0}",
         "shards: found 0, allowed is a whole number from 1 to 64"},
        {"\"shards\": \"2\"}", "shards: found \"2\""},
        {"\"shards\": -1}", "shards: found -1"},
        {"\"shard\": 1}", "shard: unknown key"},
        {"\"routing\": \"best\"}",
         "routing: found \"best\", allowed is one of random"},
        {"\"port\": 70000}", "port: found 70000"},
        {"\"shards\": 2.5}", "shards: found 2.5"},
        {"\"shards\": -2.0}", "shards: found -2.0"},
        {"\"shards\": 1e30}", "shards: found 1e30"},
    };
    for (uint32_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        char text[kMaxBytes];
        dispatch_settings_t settings;
        error_info_t err = {0};
        snprintf(text, sizeof text, "%s%s", here, cases[i].rest);
        CU_ASSERT_FALSE(read_settings(text, &settings, &err));
        CU_ASSERT_PTR_NOT_NULL(strstr(err.text, cases[i].text));
        CU_ASSERT_EQUAL(err.kind, kErrorKindBadSettings);
    }
    dispatch_settings_t settings;
    error_info_t err = {0};
    CU_ASSERT_FALSE(read_settings("{}", &settings, &err));
    CU_ASSERT_PTR_NOT_NULL(strstr(err.text, "here: found nothing"));
}

static void
test_json_round_trip(void)
{
    arena_t *arena = arena_create();
    task_answer_t tasks[1] = {
        {.state = kTaskStateDone,
         .result = {.data = (const uint8_t *)"\"x\"", .size_bytes = 3}}};
    job_answer_t answer = {.state = kJobStateComplete,
                           .reason = "complete",
                           .tasks = tasks,
                           .tasks_count = 1};
    job_answer_t decoded;
    error_info_t err = {0};
    const char *text = json_write(&job_answer_desc, &answer, arena);
    bytes_t bytes = {.data = (const uint8_t *)text,
                     .size_bytes = (uint32_t)strlen(text)};
    CU_ASSERT_TRUE_FATAL(json_read(bytes, &job_answer_desc, kErrorKindProtocol,
                                   arena, &decoded, &err));
    CU_ASSERT_EQUAL(decoded.state, kJobStateComplete);
    CU_ASSERT_EQUAL(memcmp(decoded.tasks[0].result.data, "\"x\"", 3), 0);
    arena_destroy(arena);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"message round trip", test_message_round_trip},
        {"altered messages", test_altered_messages},
        {"oversized counts", test_oversized_counts},
        {"settings", test_settings},
        {"numbers", test_numbers},
        {"bad settings", test_bad_settings},
        {"json round trip", test_json_round_trip},
        CU_TEST_INFO_NULL};
    apr_initialize();
    return suite_run("codec", tests);
}

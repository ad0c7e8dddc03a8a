/// Decoders of the platform adapter, the lookup of queues, and the timing of
/// requests to the store.
#include <apr_general.h>
#include <string.h>

#include "node/owner.h"
#include "node/queues.h"
#include "platform/job_reader.h"
#include "platform/store_internal.h"
#include "platform/target_client.h"
#include "platform/target_records.h"
#include "platform/topics.h"
#include "support/suite.h"

static const char config_text[] =
    "{\"version\":7,\"new\":1,\"routes\":["
    "{\"name\":\"a\",\"hostname\":\"h.example\",\"path_prefix\":\"/x/\","
    "\"slo_ms\":60,\"priority\":1,\"service\":\"s\",\"max_attempts\":3,"
    "\"stretch\":1.6},"
    "{\"name\":\"b\",\"hostname\":\"h.example\",\"path_prefix\":\"/x/y/\","
    "\"service\":\"t\"}],\"services\":[]}";

static bytes_t
text_bytes(const char *text)
{
    return (bytes_t){.data = (const uint8_t *)text,
                     .size_bytes = (uint32_t)strlen(text)};
}

static void
test_config_is_decoded(void)
{
    error_info_t err = {0};
    queue_table_t *table = topics_decode_config(text_bytes(config_text), &err);
    CU_ASSERT_PTR_NOT_NULL_FATAL(table);
    CU_ASSERT_EQUAL(table->version, 7);
    CU_ASSERT_EQUAL(table->queues[0].stretch_permille, 1600);
    CU_ASSERT_EQUAL(table->queues[0].attempt_limit, 3);
    CU_ASSERT_EQUAL(table->queues[1].attempt_limit, 1);
    queues_free(table);
}

static void
test_queue_with_longest_prefix_is_found(void)
{
    error_info_t err = {0};
    queue_table_t *table = topics_decode_config(text_bytes(config_text), &err);
    CU_ASSERT_STRING_EQUAL(queues_find(table, "h.example:80", "/x/y/1")->name,
                           "b");
    CU_ASSERT_STRING_EQUAL(queues_find(table, "H.example", "/x/1")->name, "a");
    CU_ASSERT_PTR_NULL(queues_find(table, "other.example", "/x/1"));
    CU_ASSERT_PTR_NULL(queues_find(table, "h.example", "/z"));
    queues_free(table);
}

static void
test_invalid_config_is_rejected(void)
{
    const char *const texts[] = {"", "[1,2", "{}", "{\"version\":\"7\"}",
                                 "{\"version\":7,\"routes\":[{}],"
                                 "\"services\":[]}"};
    for (uint32_t i = 0; i < sizeof texts / sizeof texts[0]; i++) {
        error_info_t err = {0};
        CU_ASSERT_PTR_NULL(topics_decode_config(text_bytes(texts[i]), &err));
        CU_ASSERT_NOT_EQUAL(err.kind, kErrorKindOk);
    }
}

static void
test_target_record_is_decoded(void)
{
    pool_target_info_t info;
    error_info_t err = {0};
    CU_ASSERT_TRUE(target_records_decode(
        "i-1",
        text_bytes("{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
                   "\"zone\":\"z\",\"state\":\"draining\",\"capacity\":"
                   "{\"cpu\":32000,\"mem_mb\":64,\"gpus\":0},"
                   "\"labels\":[\"a\",\"r1\"],\"born\":5}"),
        &info, &err));
    CU_ASSERT_STRING_EQUAL(info.dc, "z");
    CU_ASSERT_TRUE(info.is_draining);
    CU_ASSERT_EQUAL(info.label_count, 2);
    CU_ASSERT_EQUAL(info.born_ms, 5);
}

static void
test_invalid_target_record_is_rejected(void)
{
    const char *const texts[] = {
        "{\"service\":7,\"address\":\"a\",\"zone\":\"z\",\"state\":\"ready\","
        "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
        "{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\","
        "\"state\":\"odd\",\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
        "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\"}", "\xff\xfe"};
    for (uint32_t i = 0; i < sizeof texts / sizeof texts[0]; i++) {
        pool_target_info_t info;
        error_info_t err = {0};
        CU_ASSERT_FALSE(
            target_records_decode("i-1", text_bytes(texts[i]), &info, &err));
    }
}

static void
test_task_name_is_parsed(void)
{
    run_name_t name = {0};
    CU_ASSERT_TRUE(
        target_client_parse_task_name("5c0e7a21d94b36f8.0.1.17", &name));
    CU_ASSERT_STRING_EQUAL(name.job, "5c0e7a21d94b36f8");
    CU_ASSERT_EQUAL(name.step, 1);
    CU_ASSERT_EQUAL(name.index, 17);
    CU_ASSERT_FALSE(
        target_client_parse_task_name("5c0e7a21d94b36f8.2.1.17", &name));
    CU_ASSERT_FALSE(
        target_client_parse_task_name("5c0e7a21d94b36f8.0.1", &name));
    CU_ASSERT_FALSE(target_client_parse_task_name("", &name));
}

static error_kind_t
read_job(const char *text, arena_t *arena, order_t *order)
{
    const queue_t queue = {.service = "s",
                           .attempt_limit = 2,
                           .slo_ms = 60,
                           .stretch_permille = 1600};
    error_info_t err = {0};
    return job_reader_read(text_bytes(text), &queue, "j", arena, order, &err);
}

static void
test_job_is_decoded(void)
{
    order_t order;
    arena_t *arena = arena_create();
    CU_ASSERT_EQUAL(
        read_job("{\"task_spec\":\"t\",\"best_effort\":true,\"steps\":["
                 "{\"count\":4,\"cpu\":500,\"estimate_ms\":900},"
                 "{\"count\":2,\"depends_on\":[0],\"anti_affinity\":1}]}",
                 arena, &order),
        kErrorKindOk);
    CU_ASSERT_EQUAL(order.steps_count, 2);
    CU_ASSERT_EQUAL(order.steps[1].depends_on_count, 1);
    CU_ASSERT_EQUAL(order.steps[1].per_target_limit, 1);
    arena_destroy(arena);
}

static void
test_unsupported_features_are_refused(void)
{
    const char *const texts[] = {
        "{\"steps\":[{\"count\":1}]}",
        "{\"best_effort\":true,\"times\":3,\"steps\":[{\"count\":1}]}",
        "{\"best_effort\":true,\"steps\":[{\"count\":1,\"gang\":true}]}",
        "{\"best_effort\":true,\"long_running\":true,"
        "\"steps\":[{\"count\":1}]}",
        "{\"best_effort\":true,\"steps\":[{\"count\":1,\"fills\":true}]}"};
    for (uint32_t i = 0; i < sizeof texts / sizeof texts[0]; i++) {
        order_t order;
        arena_t *arena = arena_create();
        CU_ASSERT_EQUAL(read_job(texts[i], arena, &order), kErrorKindNotReady);
        arena_destroy(arena);
    }
}

static void
test_repeated_record_has_the_same_hash(void)
{
    uint64_t hash = target_records_hash(
        text_bytes("{\"state\":\"ready\",\"clock_ms\":4821,\"seq\":4}"));
    CU_ASSERT_EQUAL(
        hash, target_records_hash(text_bytes("{\"state\":\"ready\",\"clock_"
                                             "ms\":48213,\"seq\":15}")));
    const char *const others[] = {
        "{\"state\":\"draining\",\"clock_ms\":4821,\"seq\":4}",
        "{\"state\":\"ready\",\"clock_ms\":4821,\"seq\":4,\"born\":4}",
        "{\"state\":\"ready\",\"clock_ms\":4821,\"born\":4}",
        "{\"state\":\"ready\",\"clock_ms\":4821,\"seq\":4",
        "{\"state\":\"ready4\",\"clock_ms\":4821,\"seq\":4}",
        ""};
    for (uint32_t i = 0; i < sizeof others / sizeof others[0]; i++) {
        CU_ASSERT_NOT_EQUAL(hash, target_records_hash(text_bytes(others[i])));
    }
}

/// A target gets no start later than 2 s after it began to drain. An owner
/// must learn of it within that time even where two reads in a row are lost.
static void
test_lost_reads_are_repeated_in_time(void)
{
    enum { kDrainNoticeMs = 2000, kLatencyMs = 50 };
    uint32_t age_ms = topics_read_delay_ms(kTargetReadsFast) + kLatencyMs;
    for (uint32_t failures = 0; failures < 2; failures++) {
        age_ms +=
            store_timeout_ms(failures) + store_retry_delay_ms(failures + 1);
    }
    CU_ASSERT(age_ms < kDrainNoticeMs);
}

/// A member whose join is lost must join again before its membership expires.
static void
test_lost_join_is_repeated_in_time(void)
{
    enum { kMinTtlMs = 1000, kLatencyMs = 50 };
    CU_ASSERT(owner_join_delay_ms(0) + store_timeout_ms(0) +
                  owner_join_delay_ms(1) + kLatencyMs <
              kMinTtlMs);
}

/// Timeouts and delays grow with failures in a row and stay bounded, so that
/// requests are retried for as long as an outage lasts.
static void
test_retries_back_off_within_bounds(void)
{
    for (uint32_t i = 1; i < 100; i++) {
        CU_ASSERT(store_retry_delay_ms(i + 1) >= store_retry_delay_ms(i));
        CU_ASSERT(store_timeout_ms(i + 1) >= store_timeout_ms(i));
        CU_ASSERT(store_retry_delay_ms(i) + store_timeout_ms(i) <= 2000);
    }
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"a configuration is decoded", test_config_is_decoded},
        {"the queue with the longest prefix is found",
         test_queue_with_longest_prefix_is_found},
        {"an invalid configuration is rejected",
         test_invalid_config_is_rejected},
        {"the record of a target is decoded", test_target_record_is_decoded},
        {"an invalid record of a target is rejected",
         test_invalid_target_record_is_rejected},
        {"the name of a task is parsed", test_task_name_is_parsed},
        {"a job is decoded", test_job_is_decoded},
        {"unsupported features are refused",
         test_unsupported_features_are_refused},
        {"a repeated record has the same hash",
         test_repeated_record_has_the_same_hash},
        {"lost reads are repeated in time",
         test_lost_reads_are_repeated_in_time},
        {"a lost join is repeated in time",
         test_lost_join_is_repeated_in_time},
        {"retries back off within bounds",
         test_retries_back_off_within_bounds},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("adapter", tests);
}

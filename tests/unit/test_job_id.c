/// Tests of core/job_id: the text form and the keyed hash.
#include <sodium.h>
#include <string.h>

#include "core/job_id.h"
#include "support/suite.h"

static const uint8_t secret[kJobIdSecretBytes] = {1, 2, 3};
static const uint8_t other_secret[kJobIdSecretBytes] = {9};

static job_id_t
make_id(void)
{
    job_id_t id = {.origin = {.dc = 3, .vm = 77, .nonce = 0x1122334455667788u},
                   .sequence = 123456789};
    job_id_sign(&id, secret);
    return id;
}

static void
test_text(void)
{
    job_id_t id = make_id();
    job_id_t parsed;
    char text[kJobIdTextBytes];
    job_id_format(&id, text);
    CU_ASSERT_EQUAL(strlen(text), kJobIdTextBytes - 1);
    CU_ASSERT_TRUE_FATAL(job_id_parse(text, &parsed));
    CU_ASSERT_TRUE(incarnation_equals(&id.origin, &parsed.origin));
    CU_ASSERT_EQUAL(id.sequence, parsed.sequence);
    CU_ASSERT_TRUE(job_id_verify(&parsed, secret));
}

static void
test_malformed_text(void)
{
    job_id_t id = make_id();
    char text[kJobIdTextBytes];
    job_id_format(&id, text);
    text[5] = 'z';
    CU_ASSERT_FALSE(job_id_parse(text, &id));
    CU_ASSERT_FALSE(job_id_parse("", &id));
    text[kJobIdTextBytes - 3] = '\0';
    CU_ASSERT_FALSE(job_id_parse(text, &id));
}

static void
test_forged_id(void)
{
    job_id_t id = make_id();
    CU_ASSERT_FALSE(job_id_verify(&id, other_secret));
    id.sequence++;
    CU_ASSERT_FALSE(job_id_verify(&id, secret));
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"text form", test_text},
        {"malformed text", test_malformed_text},
        {"forged id", test_forged_id},
        CU_TEST_INFO_NULL};
    return sodium_init() < 0 ? 1 : suite_run("job_id", tests);
}

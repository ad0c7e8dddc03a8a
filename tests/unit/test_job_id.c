/// Tests of core/job_id.
#include <sodium.h>
#include <string.h>

#include "core/job_id.h"
#include "support/suite.h"

static const uint8_t secret[kJobIdSecretBytes] = {1, 2, 3};
static const uint8_t other_secret[kJobIdSecretBytes] = {9};

static job_id_t
make_id(void)
{
    job_id_t id = {.home = {.dc = 3, .vm = 77, .nonce = 0x1122334455667788u},
                   .sequence = 123456789};
    job_id_sign(&id, secret);
    return id;
}

static void
test_text(void)
{
    job_id_t id = make_id();
    job_id_t back;
    char text[kJobIdTextBytes];
    job_id_format(&id, text);
    CU_ASSERT_EQUAL(strlen(text), kJobIdTextBytes - 1);
    CU_ASSERT_TRUE_FATAL(job_id_parse(text, &back));
    CU_ASSERT_TRUE(incarnation_equals(&id.home, &back.home));
    CU_ASSERT_EQUAL(id.sequence, back.sequence);
    CU_ASSERT_TRUE(job_id_verify(&back, secret));
}

static void
test_bad_text(void)
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
test_forgery(void)
{
    job_id_t id = make_id();
    CU_ASSERT_FALSE(job_id_verify(&id, other_secret));
    id.sequence++;
    CU_ASSERT_FALSE(job_id_verify(&id, secret));
}

int
main(void)
{
    static const CU_TestInfo tests[] = {{"text form", test_text},
                                        {"bad text", test_bad_text},
                                        {"forgery", test_forgery},
                                        CU_TEST_INFO_NULL};
    return sodium_init() < 0 ? 1 : suite_run("job_id", tests);
}

/// Tests of core/mint.
#include "core/id_registry.h"
#include "support/suite.h"

enum { kMany = 1000 };

static const incarnation_t home = {.dc = 1, .vm = 2, .nonce = 3};
static const uint8_t secret[kJobIdSecretBytes] = {7};

static void
test_life_of_an_id(void)
{
    id_registry_t *mint = id_registry_create(&home, secret, 1, 4);
    job_id_t id;
    void *job = NULL;
    int record = 0;
    int64_t start_by_ns = id_registry_mint(mint, 1, 1000, 500, &id);
    CU_ASSERT_EQUAL(start_by_ns, 1500);
    CU_ASSERT_EQUAL(id.sequence % 4, 1);
    CU_ASSERT_EQUAL(id_registry_lookup(mint, &id, 1499, &job), kIdStatusFresh);
    CU_ASSERT_EQUAL(id_registry_lookup(mint, &id, 1500, &job),
                    kIdStatusExpired);
    id_registry_submit(mint, id.sequence, &record);
    CU_ASSERT_EQUAL(id_registry_lookup(mint, &id, 9999, &job), kIdStatusHeld);
    CU_ASSERT_PTR_EQUAL(job, &record);
    id_registry_forget(mint, id.sequence);
    CU_ASSERT_EQUAL(id_registry_lookup(mint, &id, 1001, &job),
                    kIdStatusForgotten);
    id_registry_destroy(mint);
}

static void
test_not_minted(void)
{
    id_registry_t *mint = id_registry_create(&home, secret, 0, 1);
    job_id_t id;
    void *job = NULL;
    id_registry_mint(mint, 1, 0, 100, &id);
    job_id_t next = id;
    next.sequence++;
    job_id_sign(&next, secret);
    CU_ASSERT_EQUAL(id_registry_lookup(mint, &next, 0, &job),
                    kIdStatusUnknown);
    job_id_t forged = id;
    forged.mac[0] ^= 1;
    CU_ASSERT_EQUAL(id_registry_lookup(mint, &forged, 0, &job),
                    kIdStatusUnknown);
    job_id_t foreign = id;
    foreign.home.nonce++;
    job_id_sign(&foreign, secret);
    CU_ASSERT_EQUAL(id_registry_lookup(mint, &foreign, 0, &job),
                    kIdStatusUnknown);
    id_registry_destroy(mint);
}

/// A block that is no longer minted from keeps its deadline: ids that expired
/// never become fresh again.
static void
test_expired_for_good(void)
{
    id_registry_t *mint = id_registry_create(&home, secret, 0, 1);
    job_id_t old;
    job_id_t fresh[kMany];
    void *job = NULL;
    id_registry_mint(mint, 1, 0, 100, &old);
    id_registry_mint(mint, kMany, 200, 100, fresh);
    CU_ASSERT_EQUAL(id_registry_lookup(mint, &old, 201, &job),
                    kIdStatusExpired);
    for (uint32_t i = 0; i < kMany; i++) {
        CU_ASSERT_EQUAL(id_registry_lookup(mint, &fresh[i], 201, &job),
                        kIdStatusFresh);
    }
    CU_ASSERT_EQUAL(id_registry_last_start_by_ns(mint), 300);
    id_registry_destroy(mint);
}

/// What the home model says of one id: the variables of model/home.pml.
typedef struct {
    bool is_submitted;
    bool is_held;
    bool is_expired;
} model_t;

/// Steps of the model.
typedef enum { kStepSubmit, kStepForget, kStepExpire, kStepCount } step_t;

static id_status_t
model_verdict(const model_t *model)
{
    if (model->is_submitted) {
        return model->is_held ? kIdStatusHeld : kIdStatusForgotten;
    }
    return model->is_expired ? kIdStatusExpired : kIdStatusFresh;
}

/// Takes one step in the model and in the code, where the model allows it.
static void
take_step(step_t step, model_t *model, id_registry_t *mint, const job_id_t *id,
          int64_t *now_ns)
{
    static int record;
    switch (step) {
    case kStepSubmit:
        if (model_verdict(model) == kIdStatusFresh) {
            model->is_submitted = true;
            model->is_held = true;
            id_registry_submit(mint, id->sequence, &record);
        }
        break;
    case kStepForget:
        model->is_held = false;
        id_registry_forget(mint, id->sequence);
        break;
    default:
        model->is_expired = true;
        *now_ns = 1000;
        break;
    }
}

/// Every sequence of steps on two ids of one block: the code says what the
/// model says, after each.
static void
test_against_model(void)
{
    enum { kDepth = 6, kIds = 2, kMoves = kStepCount * kIds };
    uint32_t runs = 1;
    for (uint32_t i = 0; i < kDepth; i++) {
        runs *= kMoves;
    }
    for (uint32_t run = 0; run < runs; run++) {
        id_registry_t *mint = id_registry_create(&home, secret, 0, 1);
        job_id_t ids[kIds];
        model_t models[kIds] = {{0}};
        int64_t now_ns = 0;
        void *job = NULL;
        id_registry_mint(mint, kIds, 0, 1000, ids);
        uint32_t rest = run;
        for (uint32_t i = 0; i < kDepth; i++, rest /= kMoves) {
            uint32_t id = rest % kMoves % kIds;
            step_t step = rest % kMoves / kIds;
            take_step(step, &models[id], mint, &ids[id], &now_ns);
            // Both ids share the block's deadline.
            models[1 - id].is_expired |= step == kStepExpire;
            for (uint32_t j = 0; j < kIds; j++) {
                CU_ASSERT_EQUAL_FATAL(
                    id_registry_lookup(mint, &ids[j], now_ns, &job),
                    model_verdict(&models[j]));
            }
        }
        id_registry_destroy(mint);
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"life of an id", test_life_of_an_id},
        {"not minted", test_not_minted},
        {"expired for good", test_expired_for_good},
        {"against the model", test_against_model},
        CU_TEST_INFO_NULL};
    return suite_run("mint", tests);
}

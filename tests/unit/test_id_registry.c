/// Tests of core/id_registry: the status of an id through its life, and every
/// short sequence of steps compared with the model of ids in model/job_id.pml.
#include "core/id_registry.h"
#include "support/suite.h"

enum { kManyIds = 1000 };

static const incarnation_t home = {.dc = 1, .vm = 2, .nonce = 3};
static const uint8_t secret[kJobIdSecretBytes] = {7};

static void
test_statuses(void)
{
    id_registry_t *registry = id_registry_create(&home, secret, 1, 4);
    job_id_t id;
    void *job = NULL;
    int record = 0;
    int64_t start_by_ns = id_registry_mint(registry, 1, 1000, 500, &id);
    CU_ASSERT_EQUAL(start_by_ns, 1500);
    CU_ASSERT_EQUAL(id.sequence % 4, 1);
    CU_ASSERT_EQUAL(id_registry_lookup(registry, &id, 1499, &job),
                    kIdStatusFresh);
    CU_ASSERT_EQUAL(id_registry_lookup(registry, &id, 1500, &job),
                    kIdStatusExpired);
    id_registry_submit(registry, id.sequence, &record);
    CU_ASSERT_EQUAL(id_registry_lookup(registry, &id, 9999, &job),
                    kIdStatusHeld);
    CU_ASSERT_PTR_EQUAL(job, &record);
    id_registry_forget(registry, id.sequence);
    CU_ASSERT_EQUAL(id_registry_lookup(registry, &id, 1001, &job),
                    kIdStatusForgotten);
    id_registry_destroy(registry);
}

static void
test_not_minted(void)
{
    id_registry_t *registry = id_registry_create(&home, secret, 0, 1);
    job_id_t id;
    void *job = NULL;
    id_registry_mint(registry, 1, 0, 100, &id);
    job_id_t next = id;
    next.sequence++;
    job_id_sign(&next, secret);
    CU_ASSERT_EQUAL(id_registry_lookup(registry, &next, 0, &job),
                    kIdStatusUnknown);
    job_id_t forged = id;
    forged.mac[0] ^= 1;
    CU_ASSERT_EQUAL(id_registry_lookup(registry, &forged, 0, &job),
                    kIdStatusUnknown);
    job_id_t foreign = id;
    foreign.origin.nonce++;
    job_id_sign(&foreign, secret);
    CU_ASSERT_EQUAL(id_registry_lookup(registry, &foreign, 0, &job),
                    kIdStatusUnknown);
    id_registry_destroy(registry);
}

/// A block keeps its deadline when later ids come from a new block, so an
/// expired id never becomes fresh again.
static void
test_expired_stays_expired(void)
{
    id_registry_t *registry = id_registry_create(&home, secret, 0, 1);
    job_id_t old;
    job_id_t fresh[kManyIds];
    void *job = NULL;
    id_registry_mint(registry, 1, 0, 100, &old);
    id_registry_mint(registry, kManyIds, 200, 100, fresh);
    CU_ASSERT_EQUAL(id_registry_lookup(registry, &old, 201, &job),
                    kIdStatusExpired);
    for (uint32_t i = 0; i < kManyIds; i++) {
        CU_ASSERT_EQUAL(id_registry_lookup(registry, &fresh[i], 201, &job),
                        kIdStatusFresh);
    }
    CU_ASSERT_EQUAL(id_registry_last_start_by_ns(registry), 300);
    id_registry_destroy(registry);
}

/// State of one id in model/job_id.pml.
typedef struct {
    bool is_submitted;
    bool is_held;
    bool is_expired;
} model_t;

/// Steps of the model.
typedef enum { kStepSubmit, kStepForget, kStepExpire, kStepCount } step_t;

static id_status_t
model_status(const model_t *model)
{
    if (model->is_submitted) {
        return model->is_held ? kIdStatusHeld : kIdStatusForgotten;
    }
    return model->is_expired ? kIdStatusExpired : kIdStatusFresh;
}

/// Applies one step to the model and to the registry, if the model allows it.
static void
take_step(step_t step, model_t *model, id_registry_t *registry,
          const job_id_t *id, int64_t *now_ns)
{
    static int record;
    switch (step) {
    case kStepSubmit:
        if (model_status(model) == kIdStatusFresh) {
            model->is_submitted = true;
            model->is_held = true;
            id_registry_submit(registry, id->sequence, &record);
        }
        break;
    case kStepForget:
        model->is_held = false;
        id_registry_forget(registry, id->sequence);
        break;
    default:
        model->is_expired = true;
        *now_ns = 1000;
        break;
    }
}

/// After each step of every sequence of steps on two ids of one block, the
/// registry reports the status that the model has.
static void
test_against_model(void)
{
    enum { kDepth = 6, kIds = 2, kChoices = kStepCount * kIds };
    uint32_t runs = 1;
    for (uint32_t i = 0; i < kDepth; i++) {
        runs *= kChoices;
    }
    for (uint32_t run = 0; run < runs; run++) {
        id_registry_t *registry = id_registry_create(&home, secret, 0, 1);
        job_id_t ids[kIds];
        model_t models[kIds] = {{0}};
        int64_t now_ns = 0;
        void *job = NULL;
        id_registry_mint(registry, kIds, 0, 1000, ids);
        uint32_t rest = run;
        for (uint32_t i = 0; i < kDepth; i++, rest /= kChoices) {
            uint32_t id = rest % kChoices % kIds;
            step_t step = rest % kChoices / kIds;
            take_step(step, &models[id], registry, &ids[id], &now_ns);
            // Both ids share the block's deadline.
            models[1 - id].is_expired |= step == kStepExpire;
            for (uint32_t j = 0; j < kIds; j++) {
                CU_ASSERT_EQUAL_FATAL(
                    id_registry_lookup(registry, &ids[j], now_ns, &job),
                    model_status(&models[j]));
            }
        }
        id_registry_destroy(registry);
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"statuses of an id", test_statuses},
        {"not minted", test_not_minted},
        {"expired ids stay expired", test_expired_stays_expired},
        {"against the model", test_against_model},
        CU_TEST_INFO_NULL};
    return suite_run("id registry", tests);
}

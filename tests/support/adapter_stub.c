#include "support/adapter_stub.h"

static void
ignore_start(adapter_t *adapter, const start_call_t *call)
{
    (void)adapter;
    (void)call;
}

static void
ignore_stop(adapter_t *adapter, const stop_call_t *call)
{
    (void)adapter;
    (void)call;
}

static void
ignore_list(adapter_t *adapter, const list_call_t *call)
{
    (void)adapter;
    (void)call;
}

static void
ignore_join(adapter_t *adapter, const char *dc, const char *member_id,
            uint64_t generation)
{
    (void)adapter;
    (void)dc;
    (void)member_id;
    (void)generation;
}

static void
ignore_leave(adapter_t *adapter, const char *dc, const char *member_id)
{
    (void)adapter;
    (void)dc;
    (void)member_id;
}

static void
ignore_probe(adapter_t *adapter, const pool_target_info_t *target)
{
    (void)adapter;
    (void)target;
}

static void
ignore_reads(adapter_t *adapter, target_reads_t reads)
{
    (void)adapter;
    (void)reads;
}

static void
ignore_record(adapter_t *adapter, const node_record_t *record)
{
    (void)adapter;
    (void)record;
}

static void
ignore_deletion(adapter_t *adapter, const char *name)
{
    (void)adapter;
    (void)name;
}

const adapter_ops_t adapter_stub_ops = {.start = ignore_start,
                                        .stop = ignore_stop,
                                        .list = ignore_list,
                                        .probe = ignore_probe,
                                        .join = ignore_join,
                                        .leave = ignore_leave,
                                        .set_target_reads = ignore_reads,
                                        .publish_record = ignore_record,
                                        .delete_record = ignore_deletion};

#include "limit/admission.h"

int64_t
admission_backlog_ns(const admission_query_t *query)
{
    if (query->slot_count == 0) {
        return 0;
    }
    return (int64_t)(query->waiting_count * (uint64_t)query->service_ns /
                     query->slot_count);
}

error_kind_t
admission_decide(const admission_query_t *query)
{
    if (!query->is_team_known) {
        return kErrorKindUnknownTeam;
    }
    if (!query->all_tasks_fit) {
        return kErrorKindNoFit;
    }
    if (query->waiting_count > 0 &&
        query->waiting_count + query->task_count > query->waiting_limit) {
        return kErrorKindOverload;
    }
    if (query->left_ns <= 0 ||
        admission_backlog_ns(query) + query->service_ns > query->left_ns) {
        return kErrorKindDeadlineUnmet;
    }
    return kErrorKindOk;
}

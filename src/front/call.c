#include "front/call.h"

void
call_set_error(call_t *call, error_kind_t kind)
{
    call->answer =
        (job_answer_t){.state = kJobStateNone,
                       .kind = kind,
                       .reason = error_answers[kind].text,
                       .not_run = error_answers[kind].run == kRunStatusNotRun};
}

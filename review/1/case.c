/// A node freezes, and a client's job waits in its socket. The client gets no
/// answer, closes its connection, and sends the job again to another node.
/// When the frozen node wakes, it starts the job although its client is gone.
#include <signal.h>

#include "kit.h"

enum {
    kTaskMs = 900,        ///< mean of the jobs that take longest
    kDeadlineMs = 1500,   ///< for which the client waits for an answer
    kRetransmitMs = 1300, ///< from no answer to the next attempt
    kFreezeMs = 3500,
    kSendAfterMs = 200 ///< from the freeze to the first attempt
};

int
main(void)
{
    static const char id[] = "5c0e7a21d94b36f8";
    char job[512];
    kit_client_t first;
    kit_format_job(
        job, sizeof job,
        &(kit_work_t){
            .steps = 1, .tasks = 4, .task_ms = kTaskMs, .task_mcores = 14000});
    kit_start(
        &(kit_plan_t){.zones = 3, .nodes_per_zone = 1, .runners_per_zone = 4});
    int32_t frozen = kit_find_node(1, true);
    int32_t other = kit_find_node(2, true);
    if (frozen < 0 || other < 0) {
        kit_finish(kKitExitNotRun);
    }
    int64_t start_ms = kit_now_ms();
    if (kit_has_trouble()) {
        kit_signal_node((uint32_t)frozen, SIGSTOP);
    }
    kit_sleep_ms(kSendAfterMs);
    if (!kit_connect(&first, (uint32_t)frozen)) {
        kit_finish(kKitExitNotRun);
    }
    kit_send(&first, "POST", id, kDeadlineMs, job);
    int32_t status = kit_receive(&first, kDeadlineMs, NULL, 0);
    kit_record("client: first attempt answered %d", status);
    kit_close(&first);
    if (status == -1) {
        kit_sleep_ms(kRetransmitMs);
        kit_client_t second;
        kit_connect(&second, (uint32_t)other);
        kit_send(&second, "POST", id, kDeadlineMs, job);
        kit_sleep_ms(start_ms + kFreezeMs - kit_now_ms());
        kit_signal_node((uint32_t)frozen, SIGCONT);
        status = kit_receive(&second, kDeadlineMs + 1000, NULL, 0);
        kit_record("client: second attempt answered %d", status);
        kit_close(&second);
    }
    kit_sleep_ms(1500);
    kit_job_t counts = kit_read_job(id);
    kit_record("case: %u starts, %u done, %u while another run of the task "
               "was going on",
               counts.starts, counts.done, counts.doubles);
    kit_finish(counts.doubles > 0 ? kKitExitBroken
               : status == 200    ? kKitExitHeld
                                  : kKitExitNotRun);
}

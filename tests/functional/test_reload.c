/// SIGHUPs in quick succession, and settings files that cannot be used.
#include <apr_general.h>
#include <apr_time.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "support/fleet.h"
#include "support/suite.h"

enum {
    kReloads = 10000,
    kSignals = 1000, ///< between two looks at the number of reloads
    kSignalGapUs = 100,
    kBurst = 10, ///< signals without a pause between them
    kSeriesLimit = 100,
    kGrowthLimitKb = 2048,
    kSettleMs = 300
};

static fleet_t fleet;

static uint64_t
read_metric(const char *name)
{
    return fleet_read_metric(&fleet, 0, name);
}

/// @return the resident memory of the node
static uint64_t
read_memory_kb(void)
{
    char path[64];
    unsigned long long size_pages = 0;
    unsigned long long resident_pages = 0;
    snprintf(path, sizeof path, "/proc/%d/statm",
             (int)fleet.nodes[0].process.pid);
    FILE *file = fopen(path, "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    CU_ASSERT_EQUAL(fscanf(file, "%llu %llu", &size_pages, &resident_pages),
                    2);
    fclose(file);
    return resident_pages * (uint64_t)sysconf(_SC_PAGESIZE) / 1024;
}

/// Prints which kind of the node's memory has grown.
static void
print_memory(void)
{
    char path[64];
    char line[256];
    snprintf(path, sizeof path, "/proc/%d/status",
             (int)fleet.nodes[0].process.pid);
    FILE *file = fopen(path, "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    while (fgets(line, sizeof line, file) != NULL) {
        if (strncmp(line, "Rss", 3) == 0) {
            printf("%s", line);
        }
    }
    fclose(file);
}

static void
send_hangups(uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        fleet_signal(&fleet, 0, SIGHUP);
        // Every other burst, so that most signals lead to a reload.
        if (i / kBurst % 2 == 0) {
            apr_sleep(kSignalGapUs);
        }
    }
}

/// A node that reads its settings again for each of many SIGHUPs (review
/// case 2): its loop goes on, and its memory does not grow.
static void
test_many_hangups(void)
{
    fleet_start(&fleet, 1, 1, 2);
    send_hangups(kSignals);
    uint64_t before_kb = read_memory_kb();
    print_memory();
    for (uint32_t i = 0; i < kSeriesLimit &&
                         read_metric("jaytrestle_settings_read") < kReloads;
         i++) {
        send_hangups(kSignals);
    }
    uint64_t after_kb = read_memory_kb();
    print_memory();
    CU_ASSERT(read_metric("jaytrestle_settings_read") >= kReloads);
#ifndef __SANITIZE_ADDRESS__ // which keeps what was freed
    CU_ASSERT(after_kb < before_kb + kGrowthLimitKb);
#else
    (void)before_kb;
    (void)after_kb;
#endif
    apr_sleep(kSettleMs * 1000);
    CU_ASSERT_TRUE(fleet_is_ready(&fleet, 0));
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, 0x1001, 2, 10), 200);
    fleet_stop(&fleet);
}

/// @param content  NULL: the file is missing
static void
check_unusable_file(const char *content, uint64_t invalid_count)
{
    char path[256];
    snprintf(path, sizeof path, "%s/node0.json", fleet.folder);
    unlink(path);
    if (content != NULL) {
        FILE *file = fopen(path, "w");
        CU_ASSERT_PTR_NOT_NULL_FATAL(file);
        fputs(content, file);
        fclose(file);
    }
    fleet_signal(&fleet, 0, SIGHUP);
    apr_sleep(kSettleMs * 1000);
    CU_ASSERT(read_metric("jaytrestle_settings_invalid") >= invalid_count);
    CU_ASSERT_TRUE(fleet_is_ready(&fleet, 0));
}

static void
test_unusable_files(void)
{
    fleet_start(&fleet, 1, 1, 2);
    check_unusable_file(NULL, 1);
    check_unusable_file("", 2);
    check_unusable_file("{\"name\": \"n0\"", 3);
    check_unusable_file("{\"name\": 7}", 4);
    CU_ASSERT_EQUAL(fleet_submit_job(&fleet, 0, 0x2001, 2, 10), 200);
    fleet_stop(&fleet);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"many SIGHUPs (review case 2)", test_many_hangups},
        {"settings files that cannot be used", test_unusable_files},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("reload", tests);
}

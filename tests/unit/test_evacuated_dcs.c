/// Sections of the configuration that evacuate data centres, and the data
/// centre that runs the jobs of an evacuated one.
#include "config/evacuated_dcs.h"

#include <apr_general.h>

#include "support/suite.h"

static evacuated_dcs_t evacuated;

static void
apply(const char *section, const char *text, bool is_full)
{
    section_entry_t entry = {.name = section, .text = text};
    const config_update_message_t update = {
        .full = is_full, .sections = &entry, .sections_count = 1};
    evacuated_dcs_apply(&evacuated, &update);
}

static void
test_section_names(void)
{
    const char *const teams[] = {
        "evacuate/",   "evacuate/0",  "evacuate/65536",
        "evacuate/1x", "evacuate/-1", "evacuate/ 1",
        "evacuate",    "counter",     "evacuate/1/2"};
    char section[kEvacuationSectionBytes];
    uint16_t dc = 0;
    evacuated_dcs_format_section(section, 65535);
    CU_ASSERT_TRUE(evacuated_dcs_read_section(section, &dc));
    CU_ASSERT_EQUAL(dc, 65535);
    for (uint32_t i = 0; i < sizeof teams / sizeof teams[0]; i++) {
        CU_ASSERT_FALSE(evacuated_dcs_read_section(teams[i], &dc));
    }
}

static void
test_sections_are_applied(void)
{
    evacuated = (evacuated_dcs_t){0};
    apply("evacuate/2", "{}", false);
    apply("evacuate/3", "{}", false);
    apply("evacuate/3", "{}", false);
    apply("counter", "{}", false);
    CU_ASSERT_TRUE(evacuated_dcs_has(&evacuated, 2));
    CU_ASSERT_FALSE(evacuated_dcs_has(&evacuated, 1));
    CU_ASSERT_EQUAL(evacuated.count, 2);
    apply("evacuate/2", "", false);
    apply("evacuate/1", "", false);
    CU_ASSERT_FALSE(evacuated_dcs_has(&evacuated, 2));
    CU_ASSERT_TRUE(evacuated_dcs_has(&evacuated, 3));
    // A full update has every section.
    apply("evacuate/1", "{}", true);
    CU_ASSERT_TRUE(evacuated_dcs_has(&evacuated, 1));
    CU_ASSERT_FALSE(evacuated_dcs_has(&evacuated, 3));
}

static void
test_other_data_centres_are_chosen(void)
{
    vm_entry_t vms[] = {
        {.role = kVmRoleEntry, .dc = 1, .vm = 1, .address = "127.0.0.1"},
        {.role = kVmRoleEntry, .dc = 2, .vm = 1, .address = "127.0.0.2"},
        {.role = kVmRoleEntry, .dc = 3, .vm = 1, .address = "127.0.0.3"},
        {.role = kVmRoleTarget, .dc = 4, .vm = 9, .address = "127.0.0.4"},
        {.role = kVmRoleEntry,
         .dc = 5,
         .vm = 1,
         .state = kVmStateLeaving,
         .address = "127.0.0.5"}};
    members_t *members = members_create(1, vms, 5);
    evacuated = (evacuated_dcs_t){0};
    CU_ASSERT_EQUAL(evacuated_dcs_choose(&evacuated, members, 1, 7), 1);
    apply("evacuate/1", "{}", false);
    CU_ASSERT_EQUAL(evacuated_dcs_choose(&evacuated, members, 1, 6), 2);
    CU_ASSERT_EQUAL(evacuated_dcs_choose(&evacuated, members, 1, 7), 3);
    CU_ASSERT_EQUAL(evacuated_dcs_choose(&evacuated, members, 2, 7), 2);
    apply("evacuate/2", "{}", false);
    CU_ASSERT_EQUAL(evacuated_dcs_choose(&evacuated, members, 1, 6), 3);
    apply("evacuate/3", "{}", false);
    CU_ASSERT_EQUAL(evacuated_dcs_choose(&evacuated, members, 1, 6), 1);
    members_free(members);
}

int
main(void)
{
    const CU_TestInfo tests[] = {
        {"names of sections", test_section_names},
        {"sections are applied", test_sections_are_applied},
        {"other data centres are chosen", test_other_data_centres_are_chosen},
        CU_TEST_INFO_NULL,
    };
    apr_initialize();
    return suite_run("evacuated_dcs", tests);
}

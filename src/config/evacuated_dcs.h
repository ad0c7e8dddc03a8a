/// Data centres that the configuration has as evacuated. Each has a section of
/// its own, "evacuate/" and the number of the data centre, so that edits of it
/// are judged, passed on and kept like those of any other section.
#ifndef JT_CONFIG_EVACUATED_DCS_H
#define JT_CONFIG_EVACUATED_DCS_H

#include <stdbool.h>
#include <stdint.h>

#include "member/members.h"

enum {
    kEvacuatedDcsLimit = 64,
    kEvacuationSectionBytes = 24 ///< name of a section with its NUL
};

typedef struct {
    uint16_t dcs[kEvacuatedDcsLimit];
    uint32_t count;
} evacuated_dcs_t;

/// Parses the number of a data centre.
///
/// @return whether the text is one
bool evacuated_dcs_parse(const char *text, uint16_t *dc);

/// Reads the name of a section.
///
/// @return whether it is the section of a data centre; no team has its name
bool evacuated_dcs_read_section(const char *section, uint16_t *dc);

/// Writes the name of the section of a data centre.
void evacuated_dcs_format_section(char out[kEvacuationSectionBytes],
                                  uint16_t dc);

/// Applies changed sections, or all of them if the update is full. Sections of
/// teams are ignored.
void evacuated_dcs_apply(evacuated_dcs_t *evacuated,
                         const config_update_message_t *update);

bool evacuated_dcs_has(const evacuated_dcs_t *evacuated, uint16_t dc);

/// Chooses the data centre whose dispatchers get new jobs: the own one unless
/// it is evacuated. The entry VMs of an evacuated data centre are divided
/// among the others that have a live entry VM.
///
/// @param vm  number of the entry VM that chooses
/// @return the own data centre if there is no other
uint16_t evacuated_dcs_choose(const evacuated_dcs_t *evacuated,
                              const members_t *members, uint16_t dc,
                              uint32_t vm);

#endif

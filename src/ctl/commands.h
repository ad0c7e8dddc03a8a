/// The commands of jtctl.
#ifndef JT_CTL_COMMANDS_H
#define JT_CTL_COMMANDS_H

#include "ctl/client.h"

enum { kCommandMaxArgs = 4 };

/// Arguments of a command.
typedef struct {
    client_endpoint_t endpoint;
    const char *positional[kCommandMaxArgs];
    uint32_t positional_count;
    const char *edit_id; ///< NULL for a new one
    const char *base;    ///< NULL for the current offset of the section
    arena_t *arena;
} command_args_t;

/// A command and the number of its positional arguments.
typedef struct {
    const char *name;
    const char *usage;
    uint32_t min_args;
    uint32_t max_args;
    /// @return the exit code
    int (*run)(const command_args_t *args, error_info_t *err);
} command_t;

extern const command_t command_table[];
extern const uint32_t command_count;

#endif

/// The commands of jtctl.
#ifndef JT_CTL_COMMANDS_H
#define JT_CTL_COMMANDS_H

#include "ctl/client.h"

enum { kCommandWords = 4 };

/// What a command works with.
typedef struct {
    client_target_t target;
    const char *words[kCommandWords]; ///< arguments after the command
    uint32_t word_count;
    const char *edit_id; ///< NULL for a fresh one
    const char *base;    ///< NULL for the section's own offset
    arena_t *arena;
} command_args_t;

/// A command.
typedef struct {
    const char *name;
    const char *usage;
    uint32_t least_words;
    uint32_t most_words;
    /// @return the exit code
    int (*run)(const command_args_t *args, error_info_t *err);
} command_t;

extern const command_t command_table[];
extern const uint32_t command_count;

#endif

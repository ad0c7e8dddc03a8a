/// A small logger: one structured line for each change of state, to standard
/// error. What happens often is counted, not logged.
#ifndef JT_SHELL_LOG_H
#define JT_SHELL_LOG_H

/// Names the process in each line.
void log_open(const char *program);

/// Writes one line: time, program, event, and key=value pairs.
///
/// @param event   short name of the change
/// @param format  printf format of the pairs
void log_event(const char *event, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif

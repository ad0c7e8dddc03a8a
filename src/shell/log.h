/// A small logger: one structured line for each decision that touches a
/// request or changes what the process believes, to standard output. Never
/// waits: lines that the output does not take at once, or that come too fast,
/// are dropped and counted. Safe from any thread.
#ifndef JT_SHELL_LOG_H
#define JT_SHELL_LOG_H

/// Names the process in each line.
void log_open(const char *program);

/// Writes one line: time, program, event, and key=value pairs.
///
/// @param event   short name of the decision or change
/// @param format  printf format of the pairs
void log_event(const char *event, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif

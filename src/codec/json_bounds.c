#include "codec/json_bounds.h"

#include <stdbool.h>

uint32_t
json_bounds_count_values(bytes_t text)
{
    uint32_t count = 1;
    char quote = '\0'; // of the string that is being read
    for (uint32_t i = 0; i < text.size_bytes; i++) {
        char c = (char)text.data[i];
        if (quote != '\0') {
            i += c == '\\';
            quote = (char)(c == quote ? '\0' : quote);
        }
        else if (c == '"' || c == '\'') {
            quote = c;
        }
        else {
            count += c == '[' || c == '{' || c == ',';
        }
    }
    return count;
}

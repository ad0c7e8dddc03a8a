/// A platform that answers no call of a node, for tests of one node.
#ifndef JT_TESTS_SUPPORT_ADAPTER_STUB_H
#define JT_TESTS_SUPPORT_ADAPTER_STUB_H

#include "node/adapter.h"

extern const adapter_ops_t adapter_stub_ops;

#endif

#include "standins/store.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "runtime/clock.h"

enum {
    kTopics = 8,
    kRecords = 65536,
    kGroups = 8,
    kMembers = 64,
    kParts = 32,
    kNameBytes = 256,
    kWaiters = 256,
    kUrlNumberBytes = 64
};

typedef struct {
    char key[kNameBytes];
    uint8_t *value;
    uint32_t value_bytes; ///< 0: the key is dropped
} record_t;

typedef struct {
    char name[kNameBytes];
    record_t *records;
    uint64_t end;
    uint64_t first; ///< oldest offset that is still there
} topic_t;

typedef struct {
    char name[kNameBytes];
    uint64_t joined_with; ///< generation of its last join
    int64_t lapse_ns;
} fake_member_t;

typedef struct {
    char name[kNameBytes];
    uint64_t generation;
    fake_member_t members[kMembers];
    uint32_t member_count;
    int32_t holder[kParts]; ///< place of the member, -1 for none
    int32_t wanted[kParts]; ///< that gets it next
} group_t;

/// A read that waits for a record.
typedef struct {
    server_conn_t *conn;
    topic_t *topic;
    uint64_t from;
    int64_t until_ns;
} waiter_t;

struct fake_store {
    server_t server;
    topic_t topics[kTopics];
    uint32_t topic_count;
    group_t groups[kGroups];
    uint32_t group_count;
    waiter_t waiters[kWaiters];
    fake_store_faults_t faults;
    int64_t well_ns; ///< when it was last seen to misbehave
    rng_t rng;
    uint64_t calls;
    uint64_t leaves;
    loop_timer_t tick;
};

static topic_t *
find_topic(fake_store_t *store, const char *name)
{
    for (uint32_t i = 0; i < store->topic_count; i++) {
        if (strcmp(store->topics[i].name, name) == 0) {
            return &store->topics[i];
        }
    }
    topic_t *topic = &store->topics[store->topic_count++];
    snprintf(topic->name, sizeof topic->name, "%s", name);
    topic->records = calloc(kRecords, sizeof *topic->records);
    return topic;
}

/// Answers, or leaves the call without an answer.
static void
reply(fake_store_t *store, server_conn_t *conn, uint32_t status,
      const void *body, uint32_t body_bytes)
{
    if (rng_below(&store->rng, 100) < store->faults.lost_percent) {
        return;
    }
    server_reply(conn, status, "", body, body_bytes);
}

static void
reply_json(fake_store_t *store, server_conn_t *conn, uint32_t status,
           json_object *object)
{
    const char *text = json_object_to_json_string(object);
    reply(store, conn, status, text, (uint32_t)strlen(text));
    json_object_put(object);
}

static void
write_number(uint8_t *out, uint64_t number, uint32_t bytes)
{
    for (uint32_t i = 0; i < bytes; i++) {
        out[i] = (uint8_t)(number >> (8 * (bytes - 1 - i)));
    }
}

static void
send_records(fake_store_t *store, server_conn_t *conn, const topic_t *topic,
             uint64_t from)
{
    uint8_t *body = malloc(16 + (topic->end - from) * 4096 + 1);
    uint32_t size = 16;
    write_number(body, topic->end, 8);
    write_number(body + 8, topic->first, 8);
    for (uint64_t i = from; i < topic->end; i++) {
        const record_t *record = &topic->records[i % kRecords];
        uint32_t key_bytes = (uint32_t)strlen(record->key);
        write_number(body + size, 1 + key_bytes + record->value_bytes, 4);
        body[size + 4] = (uint8_t)key_bytes;
        memcpy(body + size + 5, record->key, key_bytes);
        if (record->value_bytes > 0) {
            memcpy(body + size + 5 + key_bytes, record->value,
                   record->value_bytes);
        }
        size += 5 + key_bytes + record->value_bytes;
    }
    reply(store, conn, 200, body, size);
    free(body);
}

static void
wake_waiters(fake_store_t *store, const topic_t *topic)
{
    for (uint32_t i = 0; i < kWaiters; i++) {
        waiter_t *waiter = &store->waiters[i];
        if (waiter->conn != NULL && waiter->topic == topic) {
            server_conn_t *conn = waiter->conn;
            waiter->conn = NULL;
            send_records(store, conn, topic, waiter->from);
        }
    }
}

static void
append(fake_store_t *store, topic_t *topic, const char *key, const void *value,
       uint32_t value_bytes)
{
    record_t *record = &topic->records[topic->end % kRecords];
    snprintf(record->key, sizeof record->key, "%s", key);
    free(record->value);
    record->value = malloc(value_bytes + 1);
    memcpy(record->value, value, value_bytes);
    record->value_bytes = value_bytes;
    topic->end++;
    wake_waiters(store, topic);
}

void
fake_store_put(fake_store_t *store, const char *topic, const char *key,
               const char *value)
{
    append(store, find_topic(store, topic), key, value == NULL ? "" : value,
           value == NULL ? 0 : (uint32_t)strlen(value));
}

/// @return the newest record of the key of a record
static bool
is_newest(const topic_t *topic, uint64_t at)
{
    for (uint64_t i = at + 1; i < topic->end; i++) {
        if (strcmp(topic->records[i % kRecords].key,
                   topic->records[at % kRecords].key) == 0) {
            return false;
        }
    }
    return topic->records[at % kRecords].value_bytes > 0;
}

static void
serve_newest(fake_store_t *store, server_conn_t *conn, topic_t *topic)
{
    json_object *items = json_object_new_array();
    for (uint64_t i = 0; i < topic->end; i++) {
        const record_t *record = &topic->records[i % kRecords];
        if (!is_newest(topic, i)) {
            continue;
        }
        size_t text_bytes = sodium_base64_encoded_len(
            record->value_bytes, sodium_base64_VARIANT_ORIGINAL);
        char *text = malloc(text_bytes);
        sodium_bin2base64(text, text_bytes, record->value, record->value_bytes,
                          sodium_base64_VARIANT_ORIGINAL);
        json_object *item = json_object_new_object();
        json_object_object_add(item, "key",
                               json_object_new_string(record->key));
        json_object_object_add(item, "value", json_object_new_string(text));
        json_object_object_add(item, "offset", json_object_new_uint64(i));
        json_object_array_add(items, item);
        free(text);
    }
    json_object *page = json_object_new_object();
    json_object_object_add(page, "items", items);
    json_object_object_add(page, "truncated", json_object_new_boolean(false));
    json_object_object_add(page, "end", json_object_new_uint64(topic->end));
    reply_json(store, conn, 200, page);
}

/// @return a number of the query, 0 where it lacks it
static uint64_t
query_number(const char *path, const char *name)
{
    char pattern[kUrlNumberBytes];
    snprintf(pattern, sizeof pattern, "%s=", name);
    const char *at = strstr(path, pattern);
    return at == NULL ? 0 : strtoull(at + strlen(pattern), NULL, 10);
}

static topic_t *
query_topic(fake_store_t *store, const char *path)
{
    char name[kNameBytes] = "";
    const char *at = strstr(path, "topic=");
    if (at != NULL) {
        sscanf(at + 6, "%255[^&]", name);
    }
    return find_topic(store, name);
}

static void
serve_read(fake_store_t *store, server_conn_t *conn, const char *path)
{
    topic_t *topic = query_topic(store, path);
    uint64_t from = query_number(path, "from");
    uint64_t wait_ms = query_number(path, "wait_ms");
    if (from < topic->first) {
        json_object *on_disconnect = json_object_new_object();
        json_object_object_add(on_disconnect, "first",
                               json_object_new_uint64(topic->first));
        reply_json(store, conn, 410, on_disconnect);
        return;
    }
    if (from < topic->end || wait_ms == 0) {
        send_records(store, conn, topic,
                     from < topic->end ? from : topic->end);
        return;
    }
    for (uint32_t i = 0; i < kWaiters; i++) {
        if (store->waiters[i].conn == NULL) {
            store->waiters[i] =
                (waiter_t){.conn = conn,
                           .topic = topic,
                           .from = from,
                           .until_ns = clock_deadline_ns(wait_ms)};
            return;
        }
    }
}

static void
serve_append(fake_store_t *store, server_conn_t *conn,
             const server_request_t *request)
{
    topic_t *topic = query_topic(store, request->path);
    const uint8_t *body = (const uint8_t *)request->body;
    uint32_t at = 0;
    while (at + 5 <= request->body_bytes) {
        uint32_t length;
        char key[kNameBytes];
        memcpy(&length, body + at, 4);
        length = ntohl(length);
        uint32_t key_bytes = body[at + 4];
        memcpy(key, body + at + 5, key_bytes);
        key[key_bytes] = '\0';
        append(store, topic, key, body + at + 5 + key_bytes,
               length - 1 - key_bytes);
        at += 4 + length;
    }
    json_object *done = json_object_new_object();
    json_object_object_add(done, "offset",
                           json_object_new_uint64(topic->end - 1));
    json_object_object_add(done, "end", json_object_new_uint64(topic->end));
    reply_json(store, conn, 200, done);
}

static group_t *
find_group(fake_store_t *store, const char *name)
{
    for (uint32_t i = 0; i < store->group_count; i++) {
        if (strcmp(store->groups[i].name, name) == 0) {
            return &store->groups[i];
        }
    }
    group_t *group = &store->groups[store->group_count++];
    snprintf(group->name, sizeof group->name, "%s", name);
    memset(group->holder, 0xFF, sizeof group->holder);
    memset(group->wanted, 0xFF, sizeof group->wanted);
    return group;
}

static bool
is_alive(const group_t *group, int32_t member)
{
    return member >= 0 && group->members[member].lapse_ns > clock_now_ns();
}

/// Deals the partitions over the members that are alive. One that moves stays
/// with its holder until that one joins with the new generation or is gone.
static void
deal(group_t *group)
{
    int32_t alive[kMembers];
    uint32_t count = 0;
    for (uint32_t i = 0; i < group->member_count; i++) {
        if (is_alive(group, (int32_t)i)) {
            alive[count++] = (int32_t)i;
        }
    }
    group->generation++;
    for (uint32_t i = 0; i < kParts; i++) {
        group->wanted[i] = count == 0 ? -1 : alive[i % count];
    }
}

static void
hand_over(group_t *group)
{
    for (uint32_t i = 0; i < kParts; i++) {
        int32_t holder = group->holder[i];
        bool is_free = !is_alive(group, holder) ||
                       group->members[holder].joined_with >= group->generation;
        if (holder != group->wanted[i] && is_free) {
            group->holder[i] = group->wanted[i];
        }
    }
}

static int32_t
find_member(group_t *group, const char *name)
{
    for (uint32_t i = 0; i < group->member_count; i++) {
        if (strcmp(group->members[i].name, name) == 0) {
            return (int32_t)i;
        }
    }
    return -1;
}

/// Takes members that lapsed out of the deal.
static void
lapse_members(fake_store_t *store)
{
    for (uint32_t i = 0; i < store->group_count; i++) {
        group_t *group = &store->groups[i];
        bool has_lapsed = false;
        for (uint32_t j = 0; j < group->member_count; j++) {
            fake_member_t *member = &group->members[j];
            if (member->lapse_ns != 0 && !is_alive(group, (int32_t)j)) {
                member->lapse_ns = 0;
                has_lapsed = true;
            }
        }
        if (has_lapsed) {
            deal(group);
        }
    }
}

static const char *
read_text(json_object *body, const char *key)
{
    json_object *value = NULL;
    json_object_object_get_ex(body, key, &value);
    return value == NULL ? "" : json_object_get_string(value);
}

static void
serve_join(fake_store_t *store, server_conn_t *conn, json_object *body)
{
    json_object *value = NULL;
    group_t *group = find_group(store, read_text(body, "group"));
    int32_t at = find_member(group, read_text(body, "member"));
    if (at < 0) {
        at = (int32_t)group->member_count++;
        snprintf(group->members[at].name, kNameBytes, "%s",
                 read_text(body, "member"));
    }
    fake_member_t *member = &group->members[at];
    bool was_alive = is_alive(group, at);
    json_object_object_get_ex(body, "ttl_ms", &value);
    member->lapse_ns = clock_deadline_ns(json_object_get_uint64(value));
    json_object_object_get_ex(body, "generation", &value);
    member->joined_with = json_object_get_uint64(value);
    if (!was_alive) {
        deal(group);
    }
    hand_over(group);
    json_object *parts = json_object_new_array();
    for (uint32_t i = 0; i < kParts; i++) {
        if (group->holder[i] == at && group->wanted[i] == at) {
            json_object *row = json_object_new_array();
            json_object_array_add(row, json_object_new_string("cells"));
            json_object_array_add(row, json_object_new_uint64(i));
            json_object_array_add(row, json_object_new_uint64(0));
            json_object_array_add(parts, row);
        }
    }
    json_object *joined = json_object_new_object();
    json_object_object_add(joined, "generation",
                           json_object_new_uint64(group->generation));
    json_object_object_add(joined, "parts", parts);
    reply_json(store, conn, 200, joined);
}

static void
serve_leave(fake_store_t *store, server_conn_t *conn, json_object *body)
{
    group_t *group = find_group(store, read_text(body, "group"));
    int32_t at = find_member(group, read_text(body, "member"));
    if (at >= 0) {
        store->leaves++;
        group->members[at].lapse_ns = 0;
        deal(group);
        hand_over(group);
    }
    reply(store, conn, 200, "{}", 2);
}

static void
serve(void *owner, server_conn_t *conn, const server_request_t *request)
{
    fake_store_t *store = owner;
    store->calls++;
    if (store->faults.is_down) {
        return;
    }
    if (strncmp(request->path, "/log-read", 9) == 0) {
        serve_read(store, conn, request->path);
    }
    else if (strncmp(request->path, "/log-newest", 11) == 0) {
        serve_newest(store, conn, query_topic(store, request->path));
    }
    else if (strncmp(request->path, "/log-append", 11) == 0) {
        serve_append(store, conn, request);
    }
    else {
        json_object *body = json_tokener_parse(request->body);
        if (strcmp(request->path, "/log-join") == 0) {
            serve_join(store, conn, body);
        }
        else {
            serve_leave(store, conn, body);
        }
        json_object_put(body);
    }
}

static void
on_gone(void *owner, server_conn_t *conn)
{
    fake_store_t *store = owner;
    for (uint32_t i = 0; i < kWaiters; i++) {
        if (store->waiters[i].conn == conn) {
            store->waiters[i].conn = NULL;
        }
    }
}

/// Ends reads that have waited long enough, and members that lapsed.
static void
on_tick(loop_timer_t *timer)
{
    fake_store_t *store = timer->owner;
    for (uint32_t i = 0; i < kWaiters; i++) {
        waiter_t *waiter = &store->waiters[i];
        if (waiter->conn != NULL && waiter->until_ns <= clock_now_ns() &&
            !store->faults.is_down) {
            server_conn_t *conn = waiter->conn;
            waiter->conn = NULL;
            send_records(store, conn, waiter->topic, waiter->topic->end);
        }
    }
    lapse_members(store);
    loop_timer_set(store->server.loop, timer, clock_deadline_ns(20));
}

fake_store_t *
fake_store_open(loop_t *loop, const char *address, uint16_t port,
                error_info_t *err)
{
    fake_store_t *store = calloc(1, sizeof *store);
    store->rng.state = 7;
    store->server = (server_t){.loop = loop,
                               .serve = serve,
                               .on_disconnect = on_gone,
                               .owner = store};
    loop_timer_init(&store->tick, on_tick, store);
    loop_timer_set(loop, &store->tick, clock_deadline_ns(20));
    return server_open(&store->server, address, port, err) ? store : NULL;
}

void
fake_store_compact(fake_store_t *store)
{
    for (uint32_t i = 0; i < store->topic_count; i++) {
        store->topics[i].first = store->topics[i].end;
    }
}

/// @return whether no earlier record has the key of a record
static bool
is_first(const topic_t *topic, uint64_t at)
{
    uint64_t i = 0;
    while (strcmp(topic->records[i % kRecords].key,
                  topic->records[at % kRecords].key) != 0) {
        i++;
    }
    return i == at;
}

void
fake_store_append_first_again(fake_store_t *store, const char *name)
{
    topic_t *topic = find_topic(store, name);
    uint64_t end = topic->end;
    for (uint64_t i = 0; i < end; i++) {
        const record_t *record = &topic->records[i % kRecords];
        if (is_first(topic, i)) {
            append(store, topic, record->key, record->value,
                   record->value_bytes);
        }
    }
}

void
fake_store_rebalance(fake_store_t *store)
{
    for (uint32_t i = 0; i < store->group_count; i++) {
        group_t *group = &store->groups[i];
        deal(group);
        // At once, without asking the holders.
        for (uint32_t j = 0; j < kParts; j++) {
            group->holder[j] = group->wanted[(j + 1) % kParts];
            group->wanted[j] = group->holder[j];
        }
    }
}

fake_store_faults_t *
fake_store_get_faults(fake_store_t *store)
{
    return &store->faults;
}

uint64_t
fake_store_end_offset(fake_store_t *store, const char *topic)
{
    return find_topic(store, topic)->end;
}

int64_t
fake_store_healthy_since_ns(fake_store_t *store)
{
    if (store->faults.is_down || store->faults.lost_percent > 0) {
        store->well_ns = clock_now_ns();
    }
    return store->well_ns;
}

uint64_t
fake_store_count_keys(fake_store_t *store, const char *name)
{
    const topic_t *topic = find_topic(store, name);
    uint64_t count = 0;
    for (uint64_t i = 0; i < topic->end; i++) {
        count += is_newest(topic, i);
    }
    return count;
}

uint64_t
fake_store_count_leaves(const fake_store_t *store)
{
    return store->leaves;
}

uint64_t
fake_store_count_calls(const fake_store_t *store)
{
    return store->calls;
}

/// Baseline for a dispatcher: a plain libcurl multi loop. Each thread keeps a
/// number of connections to targets busy with empty tasks. Prints the tasks
/// completed in a second.
///
///   bare-loop THREADS CONNECTIONS-PER-THREAD SECONDS URL...
#include <curl/curl.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum { kUrlBytes = 160, kWaitMs = 100 };

typedef struct {
    pthread_t thread;
    uint32_t connections;
    uint32_t seconds;
    char **urls;
    uint32_t url_count;
    uint64_t sent_count;
    uint64_t done_count;
    uint32_t index; ///< of the thread
} worker_t;

static size_t
discard_body(char *data, size_t size, size_t count, void *owner)
{
    (void)data;
    (void)owner;
    return size * count;
}

/// Starts a request to the next target on a handle.
static void
send_next(worker_t *worker, CURLM *multi, CURL *easy)
{
    char url[kUrlBytes];
    uint64_t sequence = worker->sent_count++;
    snprintf(url, sizeof url, "%s/v1/tasks/bare%u.%lu",
             worker->urls[(worker->index + sequence) % worker->url_count],
             worker->index, (unsigned long)sequence);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_multi_add_handle(multi, easy);
}

static CURL *
create_easy(void)
{
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "ms=0");
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_body);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    return easy;
}

static double
now_s(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/// Counts the requests that ended, and starts the next one on each handle.
static void
collect(worker_t *worker, CURLM *multi, bool is_finished)
{
    CURLMsg *message;
    int left = 0;
    while ((message = curl_multi_info_read(multi, &left)) != NULL) {
        CURL *easy = message->easy_handle;
        worker->done_count += message->data.result == CURLE_OK;
        curl_multi_remove_handle(multi, easy);
        if (is_finished) {
            curl_easy_cleanup(easy);
        }
        else {
            send_next(worker, multi, easy);
        }
    }
}

static void *
run(void *owner)
{
    worker_t *worker = owner;
    CURLM *multi = curl_multi_init();
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 4096L);
    double end_s = now_s() + worker->seconds;
    int running = 0;
    for (uint32_t i = 0; i < worker->connections; i++) {
        send_next(worker, multi, create_easy());
    }
    do {
        curl_multi_perform(multi, &running);
        collect(worker, multi, now_s() >= end_s);
        curl_multi_poll(multi, NULL, 0, kWaitMs, NULL);
    } while (running > 0 || now_s() < end_s);
    curl_multi_cleanup(multi);
    return NULL;
}

int
main(int argc, char **argv)
{
    if (argc < 5) {
        fprintf(stderr,
                "usage: bare-loop THREADS CONNECTIONS SECONDS URL...\n");
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    uint32_t threads = (uint32_t)strtoul(argv[1], NULL, 10);
    worker_t *workers = calloc(threads, sizeof *workers);
    uint64_t done_count = 0;
    for (uint32_t i = 0; i < threads; i++) {
        workers[i] =
            (worker_t){.connections = (uint32_t)strtoul(argv[2], NULL, 10),
                       .seconds = (uint32_t)strtoul(argv[3], NULL, 10),
                       .urls = argv + 4,
                       .url_count = (uint32_t)argc - 4,
                       .index = i};
        pthread_create(&workers[i].thread, NULL, run, &workers[i]);
    }
    for (uint32_t i = 0; i < threads; i++) {
        pthread_join(workers[i].thread, NULL);
        done_count += workers[i].done_count;
    }
    printf("%lu\n",
           (unsigned long)(done_count / (uint32_t)strtoul(argv[3], NULL, 10)));
    return 0;
}

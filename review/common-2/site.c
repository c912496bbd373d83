/// @file
/// See site.h.

#include "site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define TEMPLATE_PATH "platform/node.json.template"
#define PROGRAM_PATH "target/ibisfield"
#define CHANGES_MAX 4096
#define STORE_DELAY_MS 4 ///< an answer of the store, by SYSTEM.md
#define READY_LIMIT_MS 15000
#define BODY_PIECE_BYTES 65536
#define TEXT_MAX 8192
#define SITE_HOSTS_MAX 200 ///< the store has a host of its own above these

/// One write or removal in the store.
typedef struct {
    char *key;
    char *value; ///< base64; NULL: removed
} change_t;

/// A thread's listening socket and what serves its connections.
typedef struct {
    int listening;
    machine_t *machine;
    void (*handle)(machine_t *, int fd);
} listener_t;

typedef struct {
    listener_t *listener;
    int fd;
} accepted_t;

site_ports_t site_ports;
machine_t site_machines[SITE_MACHINES_MAX];
int site_machine_count;
bool site_trouble = true;

static char work_folder[200];
static char self_program[512];
static char network[16]; ///< "127.A.B."
static FILE *record_file;
static int64_t start_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static change_t changes[CHANGES_MAX];
static int change_count; ///< the revision of change i is i + 1

static int64_t
monotonic_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/// Returns the time since site_init().
int64_t
site_now_ms(void)
{
    return monotonic_ms() - start_ms;
}

void
site_sleep_ms(int64_t ms)
{
    struct timespec left = {ms / 1000, ms % 1000 * 1000000};
    while (nanosleep(&left, &left) != 0 && errno == EINTR) {
    }
}

/// Writes a line to record.txt.
void
site_record(const char *format, ...)
{
    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%8.3f ", (double)site_now_ms() / 1000);
    va_list arguments;
    va_start(arguments, format);
    vfprintf(record_file, format, arguments);
    va_end(arguments);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

static void
end_process(pid_t pid)
{
    if (pid > 0) {
        kill(pid, SIGKILL);
        waitpid(pid, NULL, 0);
    }
}

/// Ends all processes that were started, removes the temporary folder and
/// exits with @p code.
void
site_end(int code)
{
    for (int i = 0; i < site_machine_count; i++) {
        end_process(site_machines[i].node);
        end_process(site_machines[i].server);
        unlink(site_machines[i].settings_path);
        if (getenv("KEEP_LOGS") == NULL) {
            unlink(site_machines[i].log_path);
        }
    }
    if (work_folder[0] != '\0') {
        rmdir(work_folder);
    }
    site_record("exit %d", code);
    _exit(code);
}

/// Ends a case that couldn't run.
void
site_fail(const char *what)
{
    site_record("the case could not run: %s (%s)", what, strerror(errno));
    site_end(CASE_NOT_RUN);
}

static struct sockaddr_in
socket_address(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &address.sin_addr);
    return address;
}

/// Opens a listening socket. @p receive_buffer_bytes is that of the accepted
/// connections; 0: the default. Returns -1 if the port isn't free.
int
site_listen(const char *ip, int port, int receive_buffer_bytes)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (receive_buffer_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                   sizeof(receive_buffer_bytes));
    }
    struct sockaddr_in address = socket_address(ip, port);
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 1024) != 0)
    {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
ports_are_free(int first)
{
    char ip[24];
    snprintf(ip, sizeof(ip), "%s1", network);
    for (int i = 0; i < 6; i++) {
        int fd = site_listen(ip, first + i, 0);
        if (fd < 0) {
            return false;
        }
        close(fd);
    }
    return true;
}

/// Prepares a run that writes @p folder/record.txt. @p program is the path of
/// this program, for site_spawn_self().
void
site_init(const char *folder, const char *program)
{
    char path[512];
    start_ms = monotonic_ms();
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    snprintf(self_program, sizeof(self_program), "%s", program);
    record_file = fopen(path, "we");
    if (record_file == NULL) {
        perror(path);
        _exit(CASE_NOT_RUN);
    }
    signal(SIGPIPE, SIG_IGN);
    const char *trouble = getenv("TROUBLE");
    site_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    const char *temporary = getenv("TMPDIR");
    snprintf(work_folder, sizeof(work_folder), "%s/review-2-XXXXXX",
             temporary == NULL ? "/tmp" : temporary);
    if (mkdtemp(work_folder) == NULL) {
        work_folder[0] = '\0';
        site_fail("temporary folder");
    }
    int pid = (int)getpid();
    snprintf(network, sizeof(network), "127.%d.%d.", 30 + pid % 200,
             pid / 200 % 250);
    int first = 8300;
    while (!ports_are_free(first)) {
        first += 20;
        if (first > 20000) {
            site_fail("free ports");
        }
    }
    site_ports = (site_ports_t){.inbound = first,
                                .server = first + 1,
                                .readiness = first + 2,
                                .outbound = first + 3,
                                .own = first + 4,
                                .store = first + 5};
    site_record("disruption=%d network=%s* first_port=%d", site_trouble,
                network, first);
}

pthread_t
site_thread(void *(*run)(void *), void *context)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 1024 * 1024);
    if (pthread_create(&thread, &attributes, run, context) != 0) {
        site_fail("thread");
    }
    return thread;
}

/* Messages. */

int
site_connect(const char *ip, int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    struct sockaddr_in address = socket_address(ip, port);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

void
site_set_read_timeout(int fd, int64_t ms)
{
    struct timeval limit = {ms / 1000, ms % 1000 * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

bool
site_send(int fd, const void *bytes, size_t len)
{
    const char *next = bytes;
    while (len > 0) {
        ssize_t sent = send(fd, next, len, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        next += sent;
        len -= (size_t)sent;
    }
    return true;
}

bool
site_send_text(int fd, const char *format, ...)
{
    char text[TEXT_MAX];
    va_list arguments;
    va_start(arguments, format);
    int len = vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    return len > 0 && len < (int)sizeof(text) &&
           site_send(fd, text, (size_t)len);
}

/// Copies the value of a header. Returns false if there is none.
bool
site_header(const message_t *message, const char *name, char *out, size_t size)
{
    size_t name_len = strlen(name);
    const char *line = strstr(message->head, "\r\n");
    while (line != NULL && line[2] != '\r' && line[2] != '\0') {
        line += 2;
        if (strncasecmp(line, name, name_len) == 0 && line[name_len] == ':') {
            const char *value = line + name_len + 1;
            value += strspn(value, " ");
            snprintf(out, size, "%.*s", (int)strcspn(value, "\r"), value);
            return true;
        }
        line = strstr(line, "\r\n");
    }
    return false;
}

/// Reads start line and headers. Returns false at the end of the connection.
bool
site_read_head(int fd, message_t *message, bool is_response)
{
    size_t len = 0;
    message->head[0] = '\0';
    message->body = NULL;
    message->body_bytes = 0;
    message->complete = false;
    message->status = 0;
    message->id[0] = '\0';
    message->content_length = -1;
    while (strstr(message->head, "\r\n\r\n") == NULL) {
        if (len + 1 >= sizeof(message->head) ||
            recv(fd, message->head + len, 1, 0) != 1)
        {
            return false;
        }
        message->head[++len] = '\0';
        // Only the end of the head needs to be searched.
        if (len < 4 || memcmp(message->head + len - 4, "\r\n\r\n", 4) != 0) {
            continue;
        }
        break;
    }
    char text[SITE_NAME_MAX];
    if (is_response) {
        sscanf(message->head, "HTTP/1.1 %d", &message->status);
    }
    else {
        sscanf(message->head, "%15s %511s", message->method, message->path);
    }
    site_header(message, "x-request-id", message->id, sizeof(message->id));
    message->has_seal =
        site_header(message, "x-server-seal", text, sizeof(text));
    if (site_header(message, "content-length", text, sizeof(text))) {
        message->content_length = atol(text);
    }
    return true;
}

/// Reads a body of stated length; with @p keep into message->body, which the
/// caller frees. Returns whether it is complete.
bool
site_read_body(int fd, message_t *message, bool keep)
{
    long length = message->content_length < 0 ? 0 : message->content_length;
    char piece[BODY_PIECE_BYTES];
    if (keep) {
        message->body = calloc((size_t)length + 1, 1);
    }
    while (message->body_bytes < length) {
        long left = length - message->body_bytes;
        ssize_t got =
            recv(fd, piece,
                 left < (long)sizeof(piece) ? (size_t)left : sizeof(piece), 0);
        if (got <= 0) {
            return false;
        }
        if (keep) {
            memcpy(message->body + message->body_bytes, piece, (size_t)got);
        }
        message->body_bytes += got;
    }
    message->complete = true;
    return true;
}

static void *
serve_accepted(void *context)
{
    accepted_t *accepted = context;
    accepted->listener->handle(accepted->listener->machine, accepted->fd);
    close(accepted->fd);
    free(accepted);
    return NULL;
}

static void *
accept_connections(void *context)
{
    listener_t *listener = context;
    for (;;) {
        int fd = accept4(listener->listening, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        accepted_t *accepted = calloc(1, sizeof(*accepted));
        *accepted = (accepted_t){listener, fd};
        pthread_detach(site_thread(serve_accepted, accepted));
    }
    return NULL;
}

static void
serve_listening(int listening, machine_t *machine,
                void (*handle)(machine_t *, int fd))
{
    if (listening < 0) {
        site_fail("listen");
    }
    listener_t *listener = calloc(1, sizeof(*listener));
    *listener = (listener_t){listening, machine, handle};
    pthread_detach(site_thread(accept_connections, listener));
}

/// Serves the machine's server in this process, one thread a connection.
void
site_serve(machine_t *machine, void (*handle)(machine_t *, int fd))
{
    serve_listening(site_listen(machine->ip, site_ports.server, 0), machine,
                    handle);
}

/* The store. */

static char *
encode_base64(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t len = strlen(text);
    char *out = calloc((len + 2) / 3 * 4 + 1, 1);
    size_t at = 0;
    for (size_t i = 0; i < len; i += 3) {
        unsigned int group = (unsigned char)text[i] << 16U;
        for (size_t j = 1; j < 3 && i + j < len; j++) {
            group |= (unsigned int)(unsigned char)text[i + j] << (16 - 8 * j);
        }
        for (size_t j = 0; j < 4; j++) {
            out[at++] = j > len - i ? '=' : digits[group >> (18 - 6 * j) & 63];
        }
    }
    return out;
}

static void
add_change(const char *key, char *value)
{
    pthread_mutex_lock(&store_lock);
    if (change_count == CHANGES_MAX) {
        abort();
    }
    changes[change_count++] = (change_t){strdup(key), value};
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
}

/// Writes an item. The return is the ack.
void
site_store_put(const char *key, const char *value)
{
    add_change(key, encode_base64(value));
}

void
site_store_remove(const char *key)
{
    add_change(key, NULL);
}

/// Writes the entry of a machine's server.
void
site_publish_server(const machine_t *machine, const char *state)
{
    static int sequence;
    char key[128];
    char value[1024];
    snprintf(key, sizeof(key), "servers/%s", machine->instance);
    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
             "\"cold_left_s\":0,\"sequence\":%d,\"born\":1765000000000}",
             machine->service, machine->ip, site_ports.server, machine->zone,
             machine->slots, state, ++sequence);
    site_store_put(key, value);
}

/// Writes a desired state with @p routes, the text of a JSON array, and the
/// services of all machines.
void
site_put_routes(int version, const char *routes)
{
    char value[TEXT_MAX];
    char services[TEXT_MAX / 2] = "";
    for (int i = 0; i < site_machine_count; i++) {
        char entry[256];
        snprintf(entry, sizeof(entry),
                 "%s{\"name\":\"%s\",\"health_path\":\"/healthz\","
                 "\"max_conns\":1072,\"protocol\":\"h1\",\"tls\":false}",
                 services[0] == '\0' ? "" : ",", site_machines[i].service);
        char name[SITE_NAME_MAX + 16];
        snprintf(name, sizeof(name), "{\"name\":\"%s\"",
                 site_machines[i].service);
        if (strstr(services, name) == NULL) {
            strncat(services, entry, sizeof(services) - strlen(services) - 1);
        }
    }
    snprintf(value, sizeof(value),
             "{\"version\":%d,\"routes\":%s,\"services\":[%s],\"limits\":{"
             "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
             "\"header_timeout_s\":3,\"idle_timeout_s\":15}}",
             version, routes, services);
    site_store_put("op/config", value);
}

/// Writes the first desired state, version 7, and the entries of the servers.
void
site_publish(const char *routes)
{
    site_put_routes(7, routes);
    for (int i = 0; i < site_machine_count; i++) {
        site_publish_server(&site_machines[i], "ready");
    }
}

/// Returns whether change @p i is the last one of its key.
static bool
is_newest(int i)
{
    for (int j = i + 1; j < change_count; j++) {
        if (strcmp(changes[i].key, changes[j].key) == 0) {
            return false;
        }
    }
    return true;
}

static void
write_change(FILE *out, int i, bool *first)
{
    fprintf(out, "%s{\"key\":\"%s\",\"revision\":%d,", *first ? "" : ",",
            changes[i].key, i + 1);
    *first = false;
    if (changes[i].value == NULL) {
        fputs("\"tombstone\":true}", out);
        return;
    }
    fprintf(out, "\"value\":\"%s\",\"created\":%d,\"lease\":0}",
            changes[i].value, i + 1);
}

/// Writes the items, or the changes after revision @p after if it isn't
/// negative. The store is locked.
static void
write_answer(FILE *out, int after)
{
    bool first = true;
    fputs(after < 0 ? "{\"items\":[" : "{\"events\":[", out);
    for (int i = after < 0 ? 0 : after; i < change_count; i++) {
        if (after >= 0 || (changes[i].value != NULL && is_newest(i))) {
            write_change(out, i, &first);
        }
    }
    fprintf(out, "]%s,\"at_rev\":%d}", after < 0 ? ",\"has_more\":false" : "",
            change_count);
}

static void
wait_for_change(int after, int wait_ms)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    int64_t nanoseconds = until.tv_nsec + (int64_t)wait_ms * 1000000;
    until.tv_sec += nanoseconds / 1000000000;
    until.tv_nsec = nanoseconds % 1000000000;
    while (change_count <= after &&
           pthread_cond_timedwait(&store_changed, &store_lock, &until) == 0)
    {
    }
}

static int
query_number(const char *path, const char *name)
{
    const char *found = strstr(path, name);
    return found == NULL ? 0 : atoi(found + strlen(name));
}

static void
serve_store(machine_t *machine, int fd)
{
    (void)machine;
    message_t *request = malloc(sizeof(*request));
    while (site_read_head(fd, request, false)) {
        bool watch = strncmp(request->path, "/kv-watch", 9) == 0;
        int after = watch ? query_number(request->path, "after=") : -1;
        char *text = NULL;
        size_t len = 0;
        FILE *out = open_memstream(&text, &len);
        site_sleep_ms(STORE_DELAY_MS);
        pthread_mutex_lock(&store_lock);
        if (watch) {
            wait_for_change(after, query_number(request->path, "wait_ms="));
        }
        write_answer(out, after);
        pthread_mutex_unlock(&store_lock);
        fclose(out);
        bool sent = site_send_text(fd,
                                   "HTTP/1.1 200 OK\r\nContent-Type: "
                                   "application/json\r\nContent-Length: "
                                   "%zu\r\n\r\n",
                                   len) &&
                    site_send(fd, text, len);
        free(text);
        if (!sent) {
            break;
        }
    }
    free(request);
}

void
site_start_store(void)
{
    char ip[24];
    snprintf(ip, sizeof(ip), "%s250", network);
    serve_listening(site_listen(ip, site_ports.store, 0), NULL, serve_store);
}

/* Machines. */

/// Adds a machine whose server gets the id "i-N".
machine_t *
site_add_machine(const char *service, const char *zone, int slots)
{
    int number = site_machine_count + 1;
    machine_t *machine = &site_machines[site_machine_count++];
    snprintf(machine->name, sizeof(machine->name), "sidecar-%s-%d", zone,
             number);
    snprintf(machine->ip, sizeof(machine->ip), "%s%d", network,
             number % SITE_HOSTS_MAX);
    snprintf(machine->zone, sizeof(machine->zone), "%s", zone);
    snprintf(machine->service, sizeof(machine->service), "%s", service);
    snprintf(machine->instance, sizeof(machine->instance), "i-%d", number);
    machine->slots = slots;
    snprintf(machine->settings_path, sizeof(machine->settings_path),
             "%s/%d.json", work_folder, number);
    snprintf(machine->log_path, sizeof(machine->log_path), "%s/%d.log",
             work_folder, number);
    return machine;
}

/// Returns the value of a placeholder, with the bounds of SYSTEM.md's small
/// deployments; empty for what they don't have.
static const char *
placeholder(const machine_t *machine, const char *name, char *out, size_t size)
{
    const struct {
        const char *name;
        const char *ip;
        int port;
    } addresses[] = {
        {"listen.outbound", machine->ip, site_ports.outbound},
        {"listen.inbound", machine->ip, site_ports.inbound},
        {"listen.readiness", machine->ip, site_ports.readiness},
        {"app_addr", machine->ip, site_ports.server},
    };
    const struct {
        const char *name;
        const char *value;
    } texts[] = {
        {"node_name", machine->name},  {"zone", machine->zone},
        {"service", machine->service}, {"ip", machine->ip},
        {"bounds.grace_s", "6"},       {"bounds.drain_s", "2"},
        {"bounds.retry_ratio", "0.2"}, {"bounds.retry_window_s", "10"},
        {"limits.memory_mb", "260"},
    };
    for (size_t i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
        if (strcmp(addresses[i].name, name) == 0) {
            snprintf(out, size, "%s:%d", addresses[i].ip, addresses[i].port);
            return out;
        }
    }
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        if (strcmp(texts[i].name, name) == 0) {
            return texts[i].value;
        }
    }
    if (strcmp(name, "port_range.0") == 0) {
        snprintf(out, size, "%d", site_ports.own);
        return out;
    }
    if (strcmp(name, "platform.address") == 0) {
        snprintf(out, size, "%s250:%d", network, site_ports.store);
        return out;
    }
    return "";
}

/// Fills in the template as the platform does. A section, whose name these
/// machines have no value for, is left out.
static void
write_settings(const machine_t *machine)
{
    char text[TEXT_MAX] = "";
    FILE *in = fopen(TEMPLATE_PATH, "re");
    FILE *out = fopen(machine->settings_path, "we");
    if (in == NULL || out == NULL) {
        site_fail(TEMPLATE_PATH);
    }
    text[fread(text, 1, sizeof(text) - 1, in)] = '\0';
    fclose(in);
    const char *at = text;
    const char *open;
    while ((open = strstr(at, "{{")) != NULL) {
        char name[64];
        char value[64];
        const char *close = strstr(open, "}}");
        fwrite(at, 1, (size_t)(open - at), out);
        snprintf(name, sizeof(name), "%.*s", (int)(close - open - 2),
                 open + 2);
        at = close + 2;
        if (name[0] == '#') {
            at = strstr(strstr(at, "{{/"), "}}") + 2;
            continue;
        }
        fputs(placeholder(machine, name, value, sizeof(value)), out);
    }
    fputs(at, out);
    fclose(out);
}

/// Starts the node with the command of the deploy file.
void
site_start_node(machine_t *machine)
{
    write_settings(machine);
    machine->node = fork();
    if (machine->node == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int log = open(machine->log_path,
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        setenv("IBISFIELD_SETTINGS", machine->settings_path, 1);
        execl(PROGRAM_PATH, PROGRAM_PATH, "run", machine->settings_path,
              (char *)NULL);
        _exit(127);
    }
    if (machine->node < 0) {
        site_fail("fork");
    }
}

/// Starts this program once more with @p arguments, which end with NULL. Its
/// standard output is @p output.
pid_t
site_spawn_self(const char *const *arguments, int output)
{
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(output, STDOUT_FILENO);
        execv(self_program, (char *const *)(const void *)arguments);
        _exit(127);
    }
    return pid;
}

/// Waits until the node's readiness address answers 200.
void
site_wait_ready(const machine_t *machine)
{
    int64_t limit_ms = site_now_ms() + READY_LIMIT_MS;
    message_t *answer = malloc(sizeof(*answer));
    while (site_now_ms() < limit_ms) {
        int fd = site_connect(machine->ip, site_ports.readiness);
        if (fd >= 0) {
            site_set_read_timeout(fd, 1000);
            bool ready = site_send_text(fd, "GET /readyz HTTP/1.1\r\nHost: "
                                            "node\r\nConnection: "
                                            "close\r\n\r\n") &&
                         site_read_head(fd, answer, true) &&
                         answer->status == 200;
            close(fd);
            if (ready) {
                free(answer);
                return;
            }
        }
        site_sleep_ms(50);
    }
    site_fail("a node doesn't get ready");
}

/// Returns the resident anonymous memory of a process, -1 if it has ended.
long
site_memory_kb(pid_t pid)
{
    char path[64];
    char line[256];
    long kb = -1;
    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    FILE *status = fopen(path, "re");
    while (status != NULL && fgets(line, sizeof(line), status) != NULL) {
        if (strncmp(line, "RssAnon:", 8) == 0) {
            kb = atol(line + 8);
        }
    }
    if (status != NULL) {
        fclose(status);
    }
    return kb;
}

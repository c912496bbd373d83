/// @file
/// Nodes, store, servers and clients of a small deployment on loopback
/// addresses. Uses the C library and threads only.

#include "fleet.h"

#include <arpa/inet.h>
#include <errno.h>
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
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define EVENTS_MAX 65536
#define SERVER_ANSWER_CHUNK 65536
#define STORE_ANSWER_MS 4 // as the pages state it
#define TEMPLATE_PATH "platform/node.json.template"
#define PROGRAM_PATH "target/ibisfield"

/// One write or removal in the store.
typedef struct {
    char *key;
    char *value; ///< base64; NULL: removed
    uint64_t revision;
} event_t;

fleet_ports_t fleet_ports;
fleet_machine_t fleet_machines[FLEET_NODES_MAX];
int fleet_machine_count;
bool fleet_trouble = true;

static char scratch[FLEET_TEXT_MAX];
static char net[24]; ///< "127.A.B."
static FILE *record_file;
static int64_t start_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static event_t events[EVENTS_MAX];
static int event_count;

static int64_t
clock_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/// Returns the time since fleet_init().
int64_t
fleet_now_ms(void)
{
    return clock_ms() - start_ms;
}

void
fleet_sleep_ms(int64_t ms)
{
    struct timespec left = {ms / 1000, (ms % 1000) * 1000000};
    while (nanosleep(&left, &left) != 0 && errno == EINTR) {
    }
}

/// Writes one line with the time to record.txt.
void
fleet_record(const char *format, ...)
{
    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%8.3f ", (double)fleet_now_ms() / 1000);
    va_list arguments;
    va_start(arguments, format);
    vfprintf(record_file, format, arguments);
    va_end(arguments);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

static void
fail(const char *what)
{
    fleet_record("the case could not run: %s (%s)", what, strerror(errno));
    fprintf(stderr, "the case could not run: %s (%s)\n", what,
            strerror(errno));
    fleet_end(2);
}

/// Ends all processes that were started, removes the temporary folder and
/// exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
void
fleet_end(int code)
{
    for (int i = 0; i < fleet_machine_count; i++) {
        if (fleet_machines[i].pid > 0) {
            kill(fleet_machines[i].pid, SIGKILL);
            waitpid(fleet_machines[i].pid, NULL, 0);
        }
    }
    for (int i = 0; i < fleet_machine_count && scratch[0] != '\0'; i++) {
        char path[FLEET_TEXT_MAX * 2];
        const char *const endings[] = {"json", "log"};
        for (int j = 0; j < 2; j++) {
            snprintf(path, sizeof(path), "%s/%s.%s", scratch,
                     fleet_machines[i].name, endings[j]);
            if (getenv("KEEP") == NULL) {
                unlink(path);
            }
        }
    }
    if (getenv("KEEP") == NULL) {
        rmdir(scratch);
    }
    fleet_record("exit %d", code);
    _exit(code);
}

static struct sockaddr_in
address_of(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &address.sin_addr);
    return address;
}

static int
listen_on(const char *ip, int *port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    struct sockaddr_in address = address_of(ip, *port);
    socklen_t len = sizeof(address);
    if (bind(fd, (struct sockaddr *)&address, len) != 0 ||
        listen(fd, 1024) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &len) != 0)
    {
        close(fd);
        return -1;
    }
    *port = ntohs(address.sin_port);
    return fd;
}

/// Returns whether the ports from @p first on are free on the first address
/// of the network.
static bool
ports_are_free(int first, int count)
{
    char ip[48];
    snprintf(ip, sizeof(ip), "%s1", net);
    for (int i = 0; i < count; i++) {
        int port = first + i;
        int fd = listen_on(ip, &port);
        if (fd < 0) {
            return false;
        }
        close(fd);
    }
    return true;
}

/// Prepares a run whose record goes to @p folder/record.txt.
void
fleet_init(const char *folder)
{
    char path[FLEET_TEXT_MAX * 2];
    start_ms = clock_ms();
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    record_file = fopen(path, "w");
    if (record_file == NULL) {
        perror(path);
        _exit(2);
    }
    const char *trouble = getenv("TROUBLE");
    fleet_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    signal(SIGPIPE, SIG_IGN);
    const char *tmp = getenv("TMPDIR");
    snprintf(scratch, sizeof(scratch), "%s/review-XXXXXX",
             tmp == NULL ? "/tmp" : tmp);
    if (mkdtemp(scratch) == NULL) {
        scratch[0] = '\0';
        fail("mkdtemp");
    }
    int pid = (int)getpid();
    snprintf(net, sizeof(net), "127.%d.%d.", 20 + pid % 200, pid / 200 % 250);
    int first = 8300;
    while (!ports_are_free(first, 8) && first < 12000) {
        first += 50;
    }
    fleet_ports =
        (fleet_ports_t){first, first + 4, first + 2, first + 5, first + 1};
    fleet_record("trouble=%d addresses=%s* first_port=%d", fleet_trouble, net,
                 first);
}

pthread_t
fleet_thread(void *(*run)(void *), void *context)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 512 * 1024);
    if (pthread_create(&thread, &attributes, run, context) != 0) {
        fail("pthread_create");
    }
    return thread;
}

/* HTTP. */

/// Opens a connection. Returns -1 on failure.
int
fleet_connect(const char *ip, int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    struct sockaddr_in address = address_of(ip, port);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
fleet_send(int fd, const char *bytes, size_t len)
{
    while (len > 0) {
        ssize_t sent = send(fd, bytes, len, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        len -= (size_t)sent;
    }
    return true;
}

/// Copies the value of a header to @p out. Returns NULL if there is none.
const char *
fleet_header(const fleet_message_t *message, const char *name, char *out,
             size_t size)
{
    size_t len = strlen(name);
    const char *line = strstr(message->head, "\r\n");
    while (line != NULL && line[2] != '\r') {
        line += 2;
        if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
            const char *value = line + len + 1;
            value += strspn(value, " ");
            size_t value_len = strcspn(value, "\r");
            value_len = value_len < size ? value_len : size - 1;
            memcpy(out, value, value_len);
            out[value_len] = '\0';
            return out;
        }
        line = strstr(line, "\r\n");
    }
    return NULL;
}

/// Reads a message with a Content-Length or without a body. Returns false at
/// the end of the connection; @p message then tells how much was read.
bool
fleet_read_message(int fd, fleet_message_t *message, bool is_response)
{
    *message = (fleet_message_t){.content_length = -1};
    size_t len = 0;
    while (len + 1 < sizeof(message->head)) {
        ssize_t got = recv(fd, message->head + len, 1, 0);
        if (got <= 0) {
            return false;
        }
        len++;
        if (len >= 4 && memcmp(message->head + len - 4, "\r\n\r\n", 4) == 0) {
            break;
        }
    }
    if (is_response) {
        sscanf(message->head, "HTTP/1.1 %d", &message->status);
    }
    else {
        sscanf(message->head, "%15s %255s", message->method, message->path);
    }
    char text[32];
    if (fleet_header(message, "content-length", text, sizeof(text)) != NULL) {
        message->content_length = atol(text);
    }
    char *chunk = malloc(SERVER_ANSWER_CHUNK);
    while (message->body_bytes < message->content_length) {
        long left = message->content_length - message->body_bytes;
        ssize_t got = recv(fd, chunk,
                           left < SERVER_ANSWER_CHUNK ? (size_t)left
                                                      : SERVER_ANSWER_CHUNK,
                           0);
        if (got <= 0) {
            free(chunk);
            return false;
        }
        message->body_bytes += got;
    }
    free(chunk);
    message->complete = true;
    return true;
}

/* The platform's store. */

static char *
base64(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t len = strlen(text);
    char *out = malloc((len + 2) / 3 * 4 + 1);
    char *next = out;
    for (size_t i = 0; i < len; i += 3) {
        uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;
        bits |= i + 1 < len ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
        bits |= i + 2 < len ? (uint32_t)(unsigned char)text[i + 2] : 0;
        *next++ = digits[bits >> 18];
        *next++ = digits[bits >> 12 & 63];
        *next++ = i + 1 < len ? digits[bits >> 6 & 63] : '=';
        *next++ = i + 2 < len ? digits[bits & 63] : '=';
    }
    *next = '\0';
    return out;
}

static uint64_t
add_event(const char *key, char *value)
{
    pthread_mutex_lock(&store_lock);
    uint64_t revision = 100 + (uint64_t)event_count + 1;
    events[event_count++] = (event_t){strdup(key), value, revision};
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
    return revision;
}

/// Writes an item; the return is the ack. Returns its revision.
uint64_t
fleet_store_put(const char *key, const char *value)
{
    return add_event(key, base64(value));
}

uint64_t
fleet_store_delete(const char *key)
{
    return add_event(key, NULL);
}

/// Writes the entry of the server on a machine.
uint64_t
fleet_publish_server(const fleet_machine_t *machine, const char *state)
{
    static int sequence;
    char key[FLEET_TEXT_MAX];
    char value[FLEET_TEXT_MAX * 3];
    snprintf(key, sizeof(key), "servers/%s", machine->instance);
    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
             "\"cold_left_s\":0,\"sequence\":%d,\"born\":1700000000000}",
             machine->service, machine->ip, fleet_ports.server, machine->zone,
             machine->slots, state, ++sequence);
    return fleet_store_put(key, value);
}

static uint64_t
newest_revision(void)
{
    return 100 + (uint64_t)event_count;
}

static void
append_event(FILE *out, const event_t *event, bool first)
{
    if (event->value == NULL) {
        fprintf(out, "%s{\"key\":\"%s\",\"revision\":%llu,\"tombstone\":true}",
                first ? "" : ",", event->key,
                (unsigned long long)event->revision);
        return;
    }
    fprintf(out,
            "%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,"
            "\"created\":%llu,\"lease\":0}",
            first ? "" : ",", event->key, event->value,
            (unsigned long long)event->revision,
            (unsigned long long)event->revision);
}

static void
write_range(FILE *out)
{
    bool first = true;
    fprintf(out, "{\"items\":[");
    for (int i = 0; i < event_count; i++) {
        bool newest = events[i].value != NULL;
        for (int j = i + 1; newest && j < event_count; j++) {
            newest = strcmp(events[j].key, events[i].key) != 0;
        }
        if (newest) {
            append_event(out, &events[i], first);
            first = false;
        }
    }
    fprintf(out, "],\"has_more\":false,\"at_rev\":%llu}",
            (unsigned long long)newest_revision());
}

/// Waits for an event after @p after and writes all of them.
static void
write_watch(FILE *out, uint64_t after, long wait_ms)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += wait_ms / 1000;
    until.tv_nsec += wait_ms % 1000 * 1000000;
    if (until.tv_nsec >= 1000000000) {
        until.tv_sec++;
        until.tv_nsec -= 1000000000;
    }
    while (newest_revision() <= after &&
           pthread_cond_timedwait(&store_changed, &store_lock, &until) == 0)
    {
    }
    bool first = true;
    fprintf(out, "{\"events\":[");
    for (int i = 0; i < event_count; i++) {
        if (events[i].revision > after) {
            append_event(out, &events[i], first);
            first = false;
        }
    }
    fprintf(out, "],\"at_rev\":%llu}", (unsigned long long)newest_revision());
}

typedef struct {
    fleet_machine_t *machine;
    int fd;
} connection_t;

static void *
serve_store(void *context)
{
    connection_t connection = *(connection_t *)context;
    free(context);
    fleet_message_t request;
    while (fleet_read_message(connection.fd, &request, false)) {
        char *body = NULL;
        size_t len = 0;
        FILE *out = open_memstream(&body, &len);
        const char *after = strstr(request.path, "after=");
        const char *wait = strstr(request.path, "wait_ms=");
        pthread_mutex_lock(&store_lock);
        if (strncmp(request.path, "/kv-watch", 9) == 0) {
            connection.machine->store_waiting++;
            write_watch(out, after == NULL ? 0 : strtoull(after + 6, NULL, 10),
                        wait == NULL ? 0 : atol(wait + 8));
            connection.machine->store_waiting--;
        }
        else {
            write_range(out);
        }
        pthread_mutex_unlock(&store_lock);
        fclose(out);
        fleet_sleep_ms(STORE_ANSWER_MS);
        while (connection.machine->store_cut) {
            fleet_sleep_ms(5);
        }
        char head[FLEET_TEXT_MAX];
        int head_len = snprintf(head, sizeof(head),
                                "HTTP/1.1 200 OK\r\nContent-Type: "
                                "application/json\r\nContent-Length: %zu"
                                "\r\n\r\n",
                                len);
        bool sent = fleet_send(connection.fd, head, (size_t)head_len) &&
                    fleet_send(connection.fd, body, len);
        free(body);
        if (!sent) {
            break;
        }
    }
    close(connection.fd);
    return NULL;
}

static void *
accept_store(void *context)
{
    fleet_machine_t *machine = context;
    int fd;
    while ((fd = accept4(machine->store_fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        connection_t *connection = malloc(sizeof(*connection));
        *connection = (connection_t){machine, fd};
        pthread_detach(fleet_thread(serve_store, connection));
    }
    return NULL;
}

/* Servers. */

/// Sends the server's answer to a request: echoed id, seal and body.
void
fleet_respond(fleet_machine_t *machine, int fd, const fleet_message_t *request,
              int status, size_t body_bytes)
{
    char id[FLEET_TEXT_MAX] = "";
    char head[FLEET_TEXT_MAX * 3];
    fleet_header(request, "x-request-id", id, sizeof(id));
    int len =
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %d OK\r\nX-Request-Id: %s\r\n"
                 "X-Server-Seal: %s.%s.%zu\r\nContent-Length: %zu"
                 "\r\n\r\n",
                 status, id, machine->instance, id, body_bytes, body_bytes);
    bool sent = fleet_send(fd, head, (size_t)len);
    char *chunk = malloc(SERVER_ANSWER_CHUNK);
    memset(chunk, 'x', SERVER_ANSWER_CHUNK);
    while (sent && body_bytes > 0) {
        size_t part = body_bytes < SERVER_ANSWER_CHUNK ? body_bytes
                                                       : SERVER_ANSWER_CHUNK;
        sent = fleet_send(fd, chunk, part);
        body_bytes -= part;
    }
    free(chunk);
}

static pthread_mutex_t connections_lock = PTHREAD_MUTEX_INITIALIZER;

/// Replaces one descriptor in the table of a server's connections by another;
/// 0 stands for none.
static void
replace_connection(fleet_machine_t *machine, int old, int new)
{
    pthread_mutex_lock(&connections_lock);
    for (int i = 0; i < FLEET_CONNECTIONS_MAX; i++) {
        if (machine->connections[i] == old) {
            machine->connections[i] = new;
            break;
        }
    }
    pthread_mutex_unlock(&connections_lock);
}

/// Ends the server, as the exit of its process would: closes its listener and
/// all its connections.
void
fleet_stop_server(fleet_machine_t *machine)
{
    machine->server_exited = true;
    shutdown(machine->server_fd, SHUT_RDWR);
    close(machine->server_fd);
    pthread_mutex_lock(&connections_lock);
    for (int i = 0; i < FLEET_CONNECTIONS_MAX; i++) {
        if (machine->connections[i] != 0) {
            shutdown(machine->connections[i], SHUT_RDWR);
        }
    }
    pthread_mutex_unlock(&connections_lock);
}

static void *
serve_requests(void *context)
{
    connection_t connection = *(connection_t *)context;
    fleet_machine_t *machine = connection.machine;
    free(context);
    fleet_message_t *request = malloc(sizeof(*request));
    replace_connection(machine, 0, connection.fd);
    while (!machine->server_exited &&
           fleet_read_message(connection.fd, request, false))
    {
        char target[FLEET_TEXT_MAX];
        if (fleet_header(request, "x-target-instance", target,
                         sizeof(target)) != NULL &&
            strcmp(target, machine->instance) != 0)
        {
            char head[FLEET_TEXT_MAX];
            int len = snprintf(head, sizeof(head),
                               "HTTP/1.1 421 Misdirected Request\r\n"
                               "X-Instance-Id: %s\r\nContent-Length: 0"
                               "\r\n\r\n",
                               machine->instance);
            fleet_record("server %s: 421 to a request for %s",
                         machine->instance, target);
            fleet_send(connection.fd, head, (size_t)len);
            continue;
        }
        if (machine->handle != NULL) {
            machine->handle(machine, connection.fd, request);
        }
        else {
            fleet_respond(machine, connection.fd, request, 200, 64);
        }
    }
    free(request);
    replace_connection(machine, connection.fd, 0);
    close(connection.fd);
    return NULL;
}

static void *
accept_requests(void *context)
{
    fleet_machine_t *machine = context;
    int fd;
    while ((fd = accept4(machine->server_fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        connection_t *connection = malloc(sizeof(*connection));
        *connection = (connection_t){machine, fd};
        pthread_detach(fleet_thread(serve_requests, connection));
    }
    return NULL;
}

/// Starts the server of a machine. It isn't published yet.
void
fleet_start_server(fleet_machine_t *machine)
{
    int port = fleet_ports.server;
    machine->server_fd = listen_on(machine->ip, &port);
    if (machine->server_fd < 0) {
        fail("listen of a server");
    }
    pthread_detach(fleet_thread(accept_requests, machine));
}

/* Nodes. */

/// Adds a machine, and opens the store's address for it.
fleet_machine_t *
fleet_add_machine(const char *zone, const char *service, const char *instance)
{
    fleet_machine_t *machine = &fleet_machines[fleet_machine_count];
    machine->index = fleet_machine_count++;
    machine->slots = 64;
    snprintf(machine->ip, sizeof(machine->ip), "%s%d", net,
             10 + machine->index);
    snprintf(machine->name, sizeof(machine->name), "sidecar-%s-%d", zone,
             machine->index + 1);
    snprintf(machine->zone, sizeof(machine->zone), "%s", zone);
    snprintf(machine->service, sizeof(machine->service), "%s", service);
    snprintf(machine->instance, sizeof(machine->instance), "%s", instance);
    char ip[48];
    snprintf(ip, sizeof(ip), "%s1", net);
    machine->store_fd = listen_on(ip, &machine->store_port);
    if (machine->store_fd < 0) {
        fail("listen of the store");
    }
    pthread_detach(fleet_thread(accept_store, machine));
    return machine;
}

static void
write_value(FILE *out, const fleet_machine_t *machine, const char *name)
{
    const struct {
        const char *name;
        int port;
    } ports[] = {{"listen.outbound", fleet_ports.outbound},
                 {"listen.inbound", fleet_ports.inbound},
                 {"listen.readiness", fleet_ports.readiness},
                 {"app_addr", fleet_ports.server}};
    for (size_t i = 0; i < sizeof(ports) / sizeof(ports[0]); i++) {
        if (strcmp(name, ports[i].name) == 0) {
            fprintf(out, "%s:%d", machine->ip, ports[i].port);
        }
    }
    if (strcmp(name, "node_name") == 0) {
        fputs(machine->name, out);
    }
    else if (strcmp(name, "zone") == 0) {
        fputs(machine->zone, out);
    }
    else if (strcmp(name, "service") == 0) {
        fputs(machine->service, out);
    }
    else if (strcmp(name, "ip") == 0) {
        fputs(machine->ip, out);
    }
    else if (strcmp(name, "port_range.0") == 0) {
        fprintf(out, "%d", fleet_ports.first);
    }
    else if (strcmp(name, "platform.address") == 0) {
        fprintf(out, "%s1:%d", net, machine->store_port);
    }
    else if (strcmp(name, "bounds.grace_s") == 0) {
        fputs("6", out);
    }
    else if (strcmp(name, "bounds.retry_ratio") == 0) {
        fputs("0.2", out);
    }
    else if (strcmp(name, "bounds.retry_window_s") == 0) {
        fputs("10", out);
    }
}

/// Fills in the project's own template, as the platform does.
static void
write_settings(const fleet_machine_t *machine, const char *path)
{
    FILE *in = fopen(TEMPLATE_PATH, "r");
    FILE *out = fopen(path, "w");
    if (in == NULL || out == NULL) {
        fail(TEMPLATE_PATH);
    }
    int c;
    while ((c = fgetc(in)) != EOF) {
        if (c != '{') {
            fputc(c, out);
            continue;
        }
        int next = fgetc(in);
        if (next != '{') {
            fputc(c, out);
            ungetc(next, in);
            continue;
        }
        char name[FLEET_TEXT_MAX] = "";
        size_t len = 0;
        while ((c = fgetc(in)) != EOF && c != '}' && len + 1 < sizeof(name)) {
            name[len++] = (char)c;
        }
        fgetc(in); // the second brace
        write_value(out, machine, name);
    }
    fclose(in);
    fclose(out);
}

/// Starts the node of a machine with the command of the deploy file.
void
fleet_start_node(fleet_machine_t *machine)
{
    char settings[FLEET_TEXT_MAX * 2];
    char log[FLEET_TEXT_MAX * 2];
    snprintf(settings, sizeof(settings), "%s/%s.json", scratch, machine->name);
    snprintf(log, sizeof(log), "%s/%s.log", scratch, machine->name);
    write_settings(machine, settings);
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        FILE *out = freopen(log, "a", stdout);
        if (out == NULL || dup2(fileno(out), STDERR_FILENO) < 0) {
            _exit(127);
        }
        setenv("IBISFIELD_SETTINGS", settings, 1);
        execl(PROGRAM_PATH, PROGRAM_PATH, "run", settings, (char *)NULL);
        _exit(127);
    }
    machine->pid = pid;
    fleet_record("node %s started: pid=%d service=%s", machine->name, (int)pid,
                 machine->service);
}

/// Waits until the node says that it is ready.
void
fleet_wait_ready(fleet_machine_t *machine, int limit_ms)
{
    int64_t until_ms = fleet_now_ms() + limit_ms;
    static const char request[] = "GET /readyz HTTP/1.1\r\nHost: n\r\n\r\n";
    while (fleet_now_ms() < until_ms) {
        fleet_message_t *response = malloc(sizeof(*response));
        int fd = fleet_connect(machine->ip, fleet_ports.readiness);
        bool ready = fd >= 0 && fleet_send(fd, request, sizeof(request) - 1) &&
                     fleet_read_message(fd, response, true) &&
                     response->status == 200;
        free(response);
        if (fd >= 0) {
            close(fd);
        }
        if (ready) {
            return;
        }
        fleet_sleep_ms(50);
    }
    fail("a node did not become ready");
}

/// Returns whether the node's process has ended, and notes it.
bool
fleet_node_ended(fleet_machine_t *machine)
{
    int status = 0;
    if (machine->pid > 0 && waitpid(machine->pid, &status, WNOHANG) > 0) {
        fleet_record("node %s ended: %s %d", machine->name,
                     WIFSIGNALED(status) ? "signal" : "exit code",
                     WIFSIGNALED(status) ? WTERMSIG(status)
                                         : WEXITSTATUS(status));
        machine->pid = 0;
    }
    return machine->pid == 0;
}

/// Returns the resident memory of the node in KB; 0 if it isn't known.
long
fleet_node_memory_kb(const fleet_machine_t *machine)
{
    char path[64];
    char line[FLEET_TEXT_MAX];
    long kb = 0;
    snprintf(path, sizeof(path), "/proc/%d/status", (int)machine->pid);
    FILE *in = fopen(path, "r");
    while (in != NULL && fgets(line, sizeof(line), in) != NULL) {
        if (sscanf(line, "VmRSS: %ld kB", &kb) == 1) {
            break;
        }
    }
    if (in != NULL) {
        fclose(in);
    }
    return kb;
}

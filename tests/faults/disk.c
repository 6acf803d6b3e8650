/* In the kernel's place: makes a process's calls on files fail, fall short, or end it, by a plan.
 *
 * Preloaded (LD_PRELOAD) with FAULT_DISK naming a file whose one line is the plan, read anew at each call:
 *
 *     CALL ERRNO [SKIP]    the call fails, once SKIP calls have gone well
 *     CALL short [SKIP]    half is written, and the rest finds no space
 *     CALL kill  [SKIP]    half is written, and the process is gone
 *
 * CALL is write, sync, open or any; an empty file lets all go well. Only files beside FAULT_DISK are meant whose
 * name begins with "store".
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>
#include <unistd.h>

static long seen; /* calls of the plan's kind since it was written */

static int is_store(const char *path) {
    const char *name = strrchr(path, '/');
    return strncmp(name ? name + 1 : path, "store", 5) == 0;
}

static int is_store_fd(int fd) {
    char link[64], path[4096];
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t size = readlink(link, path, sizeof path - 1);
    if (size <= 0) return 0;
    path[size] = 0;
    return is_store(path);
}

/* What the plan has for a call: 0 nothing, a positive errno, -1 short, -2 kill. */
static int due(const char *call) {
    const char *plan = getenv("FAULT_DISK");
    static char last[64];
    char line[64] = "", wanted[16] = "", what[16] = "";
    long skip = 0;
    if (!plan) return 0;
    FILE *file = fopen(plan, "re");
    if (!file) return 0;
    if (!fgets(line, sizeof line, file)) line[0] = 0;
    fclose(file);
    if (strcmp(line, last)) {
        strcpy(last, line);
        seen = 0;
    }
    int found = sscanf(line, "%15s %15s %ld", wanted, what, &skip);
    if (found < 2 || (strcmp(wanted, call) && strcmp(wanted, "any"))) return 0;
    if (seen++ < skip) return 0;
    if (!strcmp(what, "short")) return -1;
    if (!strcmp(what, "kill")) return -2;
    return strcmp(what, "EIO") ? ENOSPC : EIO;
}

static ssize_t faulty_write(int fd, const void *data, size_t size, off64_t at) {
    static ssize_t (*real)(int, const void *, size_t, off64_t);
    if (!real) real = dlsym(RTLD_NEXT, "pwrite64");
    int fault = is_store_fd(fd) ? due("write") : 0;
    if (fault == 0) return real(fd, data, size, at);
    if (fault < 0) {
        ssize_t written = real(fd, data, size / 2, at);
        if (fault == -2) kill(getpid(), SIGKILL);
        return written;
    }
    errno = fault;
    return -1;
}

ssize_t pwrite64(int fd, const void *data, size_t size, off64_t at) { return faulty_write(fd, data, size, at); }

ssize_t pwrite(int fd, const void *data, size_t size, off_t at) { return faulty_write(fd, data, size, at); }

static int faulty_sync(int fd, const char *name) {
    int (*real)(int) = dlsym(RTLD_NEXT, name);
    int fault = is_store_fd(fd) ? due("sync") : 0;
    if (fault == 0) return real(fd);
    if (fault == -2) kill(getpid(), SIGKILL);
    errno = fault > 0 ? fault : EIO;
    return -1;
}

int fsync(int fd) { return faulty_sync(fd, "fsync"); }

int fdatasync(int fd) { return faulty_sync(fd, "fdatasync"); }

static int faulty_open(const char *path, int flags, mode_t mode, const char *name) {
    int (*real)(const char *, int, mode_t) = dlsym(RTLD_NEXT, name);
    int fault = (flags & O_CREAT) && is_store(path) ? due("open") : 0;
    if (fault == 0) return real(path, flags, mode);
    errno = fault > 0 ? fault : EIO;
    return -1;
}

int open(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    return faulty_open(path, flags, mode, "open");
}

int open64(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    return faulty_open(path, flags, mode, "open64");
}

#ifndef IBISFIELD_RETRY_RETURN_TIME_H
#define IBISFIELD_RETRY_RETURN_TIME_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// What is known when a request is refused as not run.
typedef struct {
    int32_t target_ms; ///< in which an answer is worth most; 0: none
    int64_t age_us;    ///< since the request came
    int64_t usual_us;  ///< mean time to an answer of its kind; 0: not known
} return_request_t;

int32_t return_time_ms(GRand *random, const return_request_t *request);

#endif

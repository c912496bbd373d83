/// @file
/// Which requests may still start before a process ends.

#include "ibisfield/admission/serving_end.h"

/// Returns the latest time at which a request may start. One whose deadline
/// passes before the end isn't broken off by it, whatever it takes. Another
/// one may start if it is expected to finish before the end.
///
/// @param expected_us  time in which such requests finish in most cases; 0 if
///                     none has been observed
int64_t
serving_end_latest_start(int64_t end_us, int64_t deadline_us,
                         int64_t expected_us)
{
    return end_us == SERVING_END_NONE || deadline_us <= end_us
               ? SERVING_END_NONE
               : end_us - expected_us;
}

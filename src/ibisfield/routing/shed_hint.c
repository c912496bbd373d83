/// @file
/// Remembers for a short time which worth a guard sheds, so that requests it
/// would refuse anyway aren't sent.

#include "ibisfield/routing/shed_hint.h"

/// Notes a report; a later one replaces it.
void
shed_hint_note(shed_hint_t *hint, int32_t min_worth, int64_t now_us)
{
    hint->min_worth = min_worth;
    hint->until_us = now_us + SHED_HINT_LIFE_US;
}

/// Whether the guard said lately that it sheds this worth.
bool
shed_hint_blocks(const shed_hint_t *hint, int32_t worth, int64_t now_us)
{
    return now_us < hint->until_us && worth < hint->min_worth;
}

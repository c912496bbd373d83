#ifndef IBISFIELD_ROUTING_SUBSET_H
#define IBISFIELD_ROUTING_SUBSET_H

#include <stdbool.h>
#include <stdint.h>

/// A candidate for the subset of a service's VMs that a node (the chooser)
/// uses.
typedef struct {
    uint64_t name_hash;
    uint64_t rank; ///< set by subset_choose(); the lowest ranks are chosen
    uint32_t vm;   ///< number by which the calling code knows the VM
    bool local;    ///< in the chooser's data centre
} subset_candidate_t;

uint64_t subset_name_hash(const char *name);
uint32_t subset_choose(uint64_t chooser_hash, subset_candidate_t *members,
                       uint32_t count, uint32_t size);

#endif

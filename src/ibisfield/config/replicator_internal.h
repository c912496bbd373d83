#ifndef IBISFIELD_CONFIG_REPLICATOR_INTERNAL_H
#define IBISFIELD_CONFIG_REPLICATOR_INTERNAL_H

#include "ibisfield/config/replicator.h"

/// Upper limit for the values in one push together. A push of one item only
/// may exceed it, so that each item can be sent.
#define PUSH_MAX_BYTES (256 << 10)

/* Functions that the source files of the replicator share. */

void replicator_adopt(replicator_t *replicator, const config_item_t *item);
const relay_plan_t *replicator_plan(replicator_t *replicator);
int64_t replicator_jitter(replicator_t *replicator, int64_t delay_us);
bool replicator_find_peer(const replicator_t *replicator, const char *vm,
                          config_peer_t *peer);

/* replicator_pull.c */
void replicator_pulls_init(replicator_t *replicator);
void replicator_pulls_finish(replicator_t *replicator);
void replicator_compare(replicator_t *replicator, const config_peer_t *peer,
                        bool mutual);
void replicator_pull_if_differs(replicator_t *replicator,
                                const config_peer_t *peer,
                                const config_state_t *peer_state);
bool replicator_pulls_idle(const replicator_t *replicator);
void replicator_probe(replicator_t *replicator, const config_peer_t *peer);
void replicator_serve_compare(replicator_t *replicator,
                              const control_message_t *request);
void replicator_serve_list(replicator_t *replicator,
                           const control_message_t *request);
void replicator_serve_fetch(replicator_t *replicator,
                            const control_message_t *request);

/* replicator_startup.c */
void replicator_startup_advance(replicator_t *replicator);
void replicator_startup_tick(replicator_t *replicator);
void replicator_record_synced(replicator_t *replicator,
                              const config_state_t *peer_state);

/* replicator_relay.c */
void replicator_relay_start(replicator_t *replicator);
bool replicator_random_remote(replicator_t *replicator, config_peer_t *peer);
void replicator_relay_tick(replicator_t *replicator);
void replicator_relay_heartbeat(replicator_t *replicator,
                                const control_message_t *heartbeat);
void replicator_relay_flush(replicator_t *replicator);
void replicator_relay_update_ranks(replicator_t *replicator);

#endif

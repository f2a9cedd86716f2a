#ifndef CALL_INTERNAL_H
#define CALL_INTERNAL_H

/**
 * struct call_slot - one entry of the table of calls
 * @lock: protects all other members
 * @changed: broadcast after each change that a thread may wait for
 * @generation: generation of the open call's handle; 0 while the slot is free
 * @phase: state of the call
 * @answer_started: @answer_head is set, so the call can't be refused any more
 * @request: the caller's request, with its body
 * @answer_head: head of the answer, valid when @answer_started
 * @err: error, valid in phase CALL_FAILED
 * @outcome: whether the request may have run, valid in phase CALL_FAILED
 * @output: ring buffer of CALL_OUTPUT_BUFFER_BYTES, allocated when the answer
 *          starts
 * @output_start: offset of the oldest unread byte in @output
 * @output_used: number of unread bytes in @output
 * @text: text generated so far, from which another engine can continue
 * @text_incomplete: @text lacks a part, which would have exceeded
 *                   CALL_TEXT_MAX_BYTES or can't be stored as text
 */
struct call_slot {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    uint32_t generation;
    enum call_phase phase;
    bool answer_started;
    struct call_request request;
    struct call_answer_head answer_head;
    struct err err;
    enum outcome outcome;
    unsigned char *output;
    size_t output_start;
    size_t output_used;
    GString *text;
    bool text_incomplete;
};

/**
 * struct calls - see dat.h
 * @lock: protects @handles
 * @handles: allocates the handles
 * @slots: the calls, by the index of their handle
 * @capacity: number of slots
 * @write_timeout_ms: longest wait of call_write() for free space
 */
struct calls {
    pthread_mutex_t lock;
    struct table handles;
    struct call_slot *slots;
    uint32_t capacity;
    int64_t write_timeout_ms;
};

/* call.c */
struct call_slot *call_slot_lock(struct calls *calls, struct handle call);
void call_slot_unlock(struct call_slot *slot);

#endif

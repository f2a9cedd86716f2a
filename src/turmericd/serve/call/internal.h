#ifndef CALL_INTERNAL_H
#define CALL_INTERNAL_H

/**
 * struct slot - one call
 * @lock: guards all other members
 * @changed: broadcast after each change that a thread may wait for
 * @generation: generation of the open call, 0 while the slot is free
 * @phase: how far the call is
 * @began: the head of the answer is known, so a refusal comes too late
 * @request: the caller's request
 * @answer: head of the answer, valid when @began
 * @err: why the call was refused or broke off
 * @outcome: what is known about a refused call
 * @output: ring buffer of CALL_OUTPUT_BUFFER_BYTES, allocated with the answer
 * @head: offset of the oldest byte in @output
 * @held: bytes in @output
 * @text: text of the answer so far, for a resume at another engine
 * @text_lost: @text grew beyond its bound or never could be kept
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
 * @lock: guards @handles
 * @handles: gives out the handles
 * @slots: one slot for each handle
 * @capacity: number of slots
 * @write_timeout_ms: longest wait of a write for room
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
